#include "Agent/LoadProbe.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::agent {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds AskInterval{100};
constexpr base::Millis AskTimeout = base::seconds(1);
constexpr std::size_t MaxKeptEvents = 8192;

/// Drops an answer whose fields have other types than expected: the next one
/// comes soon, and a load is a hint only.
void takeAnswer(const std::function<void()> &Take) {
  try {
    Take();
  } catch (const json::exception &Problem) {
    LOG_EVERY_N(WARNING, 100) << "load answer dropped: " << Problem.what();
  }
}

} // namespace

LoadProbe::LoadProbe(boost::asio::io_context &Loop, net::HttpClient &Http,
                     std::string Address)
    : m_Timer(Loop), m_Http(Http), m_Address(std::move(Address)) {}

void LoadProbe::start() { ask(); }

void LoadProbe::stop() { m_Timer.cancel(); }

void LoadProbe::ask() {
  m_Http.get(m_Address, "/load", AskTimeout,
             [this](base::Result<net::HttpResponse> Answer) {
               if (Answer)
                 takeAnswer([&] { onLoad(Answer->m_Body); });
             });
  const std::uint64_t Next = m_First + m_Cache.size();
  m_Http.get(m_Address, "/cache-events?from=" + std::to_string(Next),
             AskTimeout, [this](base::Result<net::HttpResponse> Answer) {
               if (Answer)
                 takeAnswer([&] { onCacheEvents(Answer->m_Body); });
             });
  m_Timer.expires_after(AskInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      ask();
  });
}

void LoadProbe::onLoad(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return;
  m_Last.set_running(Document.value("running", 0U));
  m_Last.set_queued(Document.value("queued", 0U));
  m_Last.set_capacity(Document.value("capacity", 0U));
  m_Last.set_tokens_ahead(
      Document.value("tokens_ahead", static_cast<std::uint64_t>(0)));
  m_Last.set_step_us(Document.value("step_us", 0U));
}

void LoadProbe::onCacheEvents(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("first"))
    return;
  const std::uint64_t First = Document["first"].get<std::uint64_t>();
  const std::uint64_t Next = m_First + m_Cache.size();
  if (First < Next)
    return;
  if (First > Next) {
    m_Cache.clear();
    m_First = First;
  }
  for (const json &Block : Document.value("added", json::array()))
    m_Cache.push_back({Block.get<std::uint64_t>(), false});
  for (const json &Block : Document.value("evicted", json::array()))
    m_Cache.push_back({Block.get<std::uint64_t>(), true});
  while (m_Cache.size() > MaxKeptEvents) {
    m_Cache.pop_front();
    ++m_First;
  }
}

void LoadProbe::fill(std::uint64_t Link, wire::Load &Frame) {
  Frame.set_running(m_Last.running());
  Frame.set_queued(m_Last.queued());
  Frame.set_capacity(m_Last.capacity());
  Frame.set_tokens_ahead(m_Last.tokens_ahead());
  Frame.set_step_us(m_Last.step_us());
  std::uint64_t &Sent = m_Sent[Link];
  const std::uint64_t From = std::max(Sent, m_First);
  Frame.set_cache_event_sequence(From);
  for (std::uint64_t Number = From; Number < m_First + m_Cache.size();
       ++Number) {
    const CacheEvent &Event = m_Cache[Number - m_First];
    if (Event.m_Evicted)
      Frame.add_evicted_blocks(Event.m_Block);
    else
      Frame.add_cached_blocks(Event.m_Block);
  }
  Sent = m_First + m_Cache.size();
}

} // namespace corneldeck::agent
