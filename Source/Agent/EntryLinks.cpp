#include "Agent/EntryLinks.h"

#include <chrono>
#include <utility>
#include <vector>

namespace corneldeck::agent {

namespace {
constexpr std::chrono::milliseconds SilenceCheckInterval{250};
} // namespace

EntryLinks::EntryLinks(boost::asio::io_context &Loop,
                       EntryLinksIdentity Identity, base::Timeline &Events,
                       EntryLinksHooks Hooks)
    : m_Identity(std::move(Identity)), m_Events(Events),
      m_Hooks(std::move(Hooks)), m_Clock(base::steadyClock()),
      m_Server(Loop, MaxLinks), m_Timer(Loop) {}

base::Result<void> EntryLinks::listen(const std::string &Address) {
  auto Listening = m_Server.listen(
      Address, [this](const net::LinkConnectionPtr &New) { onAccept(New); });
  if (Listening)
    scheduleSilenceCheck();
  return Listening;
}

void EntryLinks::send(request::LinkId Link, const wire::LinkFrame &Frame) {
  const auto Found = m_Links.find(Link);
  if (Found != m_Links.end())
    Found->second.m_Connection->send(Frame);
}

void EntryLinks::announceLoad() {
  for (const auto &[Id, Current] : m_Links)
    if (Current.m_Established)
      sendLoad(Id, 0);
}

void EntryLinks::close() {
  m_Server.close();
  m_Timer.cancel();
  for (auto &[Id, Current] : m_Links)
    Current.m_Connection->close();
  m_Links.clear();
}

void EntryLinks::onAccept(const net::LinkConnectionPtr &Connection) {
  const request::LinkId Id = ++m_LastId;
  m_Links[Id] = {Connection, m_Clock.now(), false, ""};
  Connection->start([this, Id](wire::LinkFrame &Frame) { onFrame(Id, Frame); },
                    [this, Id](const base::Error &Problem) {
                      closeLink(Id,
                                Problem.m_Code == base::ResultCode::BadMessage
                                    ? base::EventId::BadFrame
                                    : base::EventId::LinkClosed);
                    });
}

void EntryLinks::onFrame(request::LinkId Id, wire::LinkFrame &Frame) {
  const auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  Link &Sender = Found->second;
  Sender.m_LastHeardAt = m_Clock.now();
  m_Events.observe(Frame.stamp());
  switch (Frame.body_case()) {
  case wire::LinkFrame::kHello:
    onHello(Id, Sender, Frame.hello());
    return;
  case wire::LinkFrame::kHeartbeat:
    m_ControlBytes += Frame.ByteSizeLong();
    sendLoad(Id, Frame.heartbeat().sequence());
    return;
  case wire::LinkFrame::kStart:
  case wire::LinkFrame::kAttach:
  case wire::LinkFrame::kCancel:
    if (Sender.m_Established) {
      m_Hooks.m_OnFrame(Id, Frame);
      return;
    }
    break;
  default:
    break;
  }
  closeLink(Id, base::EventId::BadFrame);
}

void EntryLinks::onHello(request::LinkId Id, Link &Sender,
                         const wire::Hello &Hello) {
  Sender.m_Established = true;
  Sender.m_Entry = Hello.node();
  m_Events.record(base::EventId::LinkUp, {{"entry", Hello.node()}});
  wire::LinkFrame Response;
  Response.set_stamp(m_Events.stamp());
  wire::Hello &Self = *Response.mutable_hello();
  Self.set_node(m_Identity.m_Server);
  Self.set_incarnation(m_Identity.m_Incarnation);
  Self.set_zone(m_Identity.m_Zone);
  Self.set_address(m_Identity.m_HttpAddress);
  Self.set_link(Id);
  Self.set_clock_ms(m_Clock.now().count());
  Sender.m_Connection->send(Response);
  sendLoad(Id, 0);
}

void EntryLinks::sendLoad(request::LinkId Id, std::uint64_t Sequence) {
  wire::LinkFrame Frame;
  Frame.set_stamp(m_Events.stamp());
  wire::Load &Load = *Frame.mutable_load();
  Load.set_sequence(Sequence);
  m_Hooks.m_FillLoad(Id, Load);
  Load.set_clock_ms(m_Clock.now().count());
  m_ControlBytes += Frame.ByteSizeLong();
  send(Id, Frame);
}

void EntryLinks::closeLink(request::LinkId Id, base::EventId Reason) {
  auto Closed = m_Links.extract(Id);
  if (Closed.empty())
    return;
  m_Events.record(Reason, {{"entry", Closed.mapped().m_Entry}});
  Closed.mapped().m_Connection->close();
  m_Hooks.m_OnClosed(Id);
}

void EntryLinks::closeSilentLinks() {
  std::vector<request::LinkId> Silent;
  for (const auto &[Id, Current] : m_Links)
    if (m_Clock.now() - Current.m_LastHeardAt > SilenceTimeout)
      Silent.push_back(Id);
  for (const request::LinkId Id : Silent)
    closeLink(Id, base::EventId::LinkSilent);
}

void EntryLinks::scheduleSilenceCheck() {
  m_Timer.expires_after(SilenceCheckInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (Cancelled)
      return;
    closeSilentLinks();
    scheduleSilenceCheck();
  });
}

} // namespace corneldeck::agent
