#include "Agent/LoadPoller.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::agent {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds PollInterval{100};
constexpr base::Millis PollTimeout = base::seconds(1);
constexpr std::size_t MaxRetainedEvents = 8192;

/// Ignores a response whose fields have unexpected types: the next poll follows
/// soon, and the load is only a hint.
void handleResponse(const std::function<void()> &Handle) {
  try {
    Handle();
  } catch (const json::exception &Problem) {
    LOG_EVERY_N(WARNING, 100)
        << "ignored a malformed load response: " << Problem.what();
  }
}

} // namespace

LoadPoller::LoadPoller(boost::asio::io_context &Loop, net::HttpClient &Http,
                       std::string Address)
    : m_Timer(Loop), m_Http(Http), m_Address(std::move(Address)) {}

void LoadPoller::start() { poll(); }

void LoadPoller::stop() { m_Timer.cancel(); }

void LoadPoller::poll() {
  m_Http.get(m_Address, "/load", PollTimeout,
             [this](base::Result<net::HttpResponse> Response) {
               if (Response)
                 handleResponse([&] { onLoad(Response->m_Body); });
             });
  const std::uint64_t Next = m_FirstSequence + m_CacheEvents.size();
  m_Http.get(m_Address, "/cache-events?from=" + std::to_string(Next),
             PollTimeout, [this](base::Result<net::HttpResponse> Response) {
               if (Response)
                 handleResponse([&] { onCacheEvents(Response->m_Body); });
             });
  m_Timer.expires_after(PollInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      poll();
  });
}

void LoadPoller::onLoad(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return;
  m_LatestLoad.set_running(Document.value("running", 0U));
  m_LatestLoad.set_queued(Document.value("queued", 0U));
  m_LatestLoad.set_capacity(Document.value("capacity", 0U));
  m_LatestLoad.set_tokens_ahead(
      Document.value("tokens_ahead", static_cast<std::uint64_t>(0)));
  m_LatestLoad.set_step_us(Document.value("step_us", 0U));
}

void LoadPoller::onCacheEvents(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("first"))
    return;
  const std::uint64_t First = Document["first"].get<std::uint64_t>();
  const std::uint64_t Next = m_FirstSequence + m_CacheEvents.size();
  if (First < Next)
    return;
  if (First > Next) {
    m_CacheEvents.clear();
    m_FirstSequence = First;
  }
  for (const json &Block : Document.value("added", json::array()))
    m_CacheEvents.push_back({Block.get<std::uint64_t>(), false});
  for (const json &Block : Document.value("evicted", json::array()))
    m_CacheEvents.push_back({Block.get<std::uint64_t>(), true});
  while (m_CacheEvents.size() > MaxRetainedEvents) {
    m_CacheEvents.pop_front();
    ++m_FirstSequence;
  }
}

void LoadPoller::fillLoad(std::uint64_t Link, wire::Load &Frame) {
  Frame.set_running(m_LatestLoad.running());
  Frame.set_queued(m_LatestLoad.queued());
  Frame.set_capacity(m_LatestLoad.capacity());
  Frame.set_tokens_ahead(m_LatestLoad.tokens_ahead());
  Frame.set_step_us(m_LatestLoad.step_us());
  std::uint64_t &NextSequence = m_NextSequence[Link];
  const std::uint64_t From = std::max(NextSequence, m_FirstSequence);
  Frame.set_cache_event_sequence(From);
  for (std::uint64_t Number = From;
       Number < m_FirstSequence + m_CacheEvents.size(); ++Number) {
    const CacheEvent &Event = m_CacheEvents[Number - m_FirstSequence];
    if (Event.m_Evicted)
      Frame.add_evicted_blocks(Event.m_Block);
    else
      Frame.add_cached_blocks(Event.m_Block);
  }
  NextSequence = m_FirstSequence + m_CacheEvents.size();
}

} // namespace corneldeck::agent
