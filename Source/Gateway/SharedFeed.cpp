#include "Gateway/SharedFeed.h"

#include <algorithm>
#include <limits>

namespace corneldeck::gateway {

namespace {

metrics::Counter &counter(metrics::Registry &Metrics, const std::string &Name,
                          const std::string &Help, const std::string &Feed) {
  return Metrics.counter("corneldeck_feed_" + Name + "_total", Help,
                         {{"feed", Feed}});
}

} // namespace

SharedFeed::SharedFeed(boost::asio::io_context &Context,
                       const feed::KeyedLogClient &Log, net::HttpClient &Client,
                       base::Timeline &Events, metrics::Registry &Metrics,
                       SharedFeedSettings Settings,
                       feed::KeyedState::IsSignificant IsSignificant,
                       std::function<void()> Changed)
    : m_Settings(std::move(Settings)), m_Client(Client), m_Events(Events),
      m_OnChanged(std::move(Changed)), m_State(std::move(IsSignificant)),
      m_Follower(
          Context, Log, m_State, m_Settings.m_Follower,
          {[this] { notifyChanged(); },
           [this](const base::Error *Failure) { recordContact(Failure); }}),
      m_SentBytes(counter(Metrics, "sent_bytes",
                          "Bytes of feeds sent to other nodes.",
                          m_Settings.m_Name)),
      m_FetchedBytes(counter(Metrics, "fetched_bytes",
                             "Bytes of feeds received from other nodes.",
                             m_Settings.m_Name)),
      m_FailedFetches(counter(Metrics, "failed_fetches",
                              "Transfers of feeds that were not completed.",
                              m_Settings.m_Name)) {}

void SharedFeed::writePosition(wire::FeedPosition &Position) const {
  Position.set_loaded(m_State.isLoaded());
  Position.set_content_offset(m_State.contentOffset());
  Position.set_source_age_ms(
      static_cast<std::uint32_t>(m_Follower.staleness().count()));
}

void SharedFeed::handlePosition(const wire::NodeNews &Sender,
                                const wire::FeedPosition &Position) {
  m_Peers[Sender.node()] = {Position, m_Clock.now()};
  const bool IsAhead = Position.loaded() &&
                       (!m_State.isLoaded() ||
                        Position.content_offset() > m_State.contentOffset());
  if (IsAhead && !m_FetchInFlight)
    fetch(Sender);
}

void SharedFeed::updateReaderRole(
    const std::string &Self, const std::vector<wire::NodeNews> &LiveEntries) {
  const base::Millis Now = m_Clock.now();
  unsigned FreshReaders = 0;
  for (const wire::NodeNews &Each : LiveEntries) {
    const auto Found = m_Peers.find(Each.node());
    if (Each.node() >= Self || Each.leaving() || Found == m_Peers.end())
      continue;
    const Peer &Reported = Found->second;
    const base::Millis Age = base::Millis(Reported.m_Position.source_age_ms()) +
                             (Now - Reported.m_ReceivedAt);
    if (Age <= m_Settings.m_MaxStaleness)
      ++FreshReaders;
  }
  m_Follower.setActive(FreshReaders < m_Settings.m_Readers ||
                       !m_State.isLoaded());
}

void SharedFeed::sendState(net::HttpExchange &Exchange) {
  wire::FeedState State;
  State.set_content_offset(m_State.contentOffset());
  for (const feed::KeyedRecord &Each : m_State.records()) {
    wire::FeedRecord &Added = *State.add_records();
    Added.set_offset(Each.m_Offset);
    Added.set_key(Each.m_Key);
    Added.set_has_value(Each.m_Value.has_value());
    Added.set_value(Each.m_Value.value_or(std::string()));
  }
  constexpr int Ok = 200;
  const std::string Body = State.SerializeAsString();
  m_SentBytes.add(Body.size());
  Exchange.respond(Ok, {{"Content-Type", "application/x-protobuf"}}, Body);
}

void SharedFeed::fetch(const wire::NodeNews &Sender) {
  m_FetchInFlight = true;
  m_Client.get(
      Sender.peer_address(), "/feeds/" + m_Settings.m_Name,
      m_Settings.m_FetchTimeout,
      [this, Node = Sender.node(),
       StartedAt = m_Clock.now()](base::Result<net::HttpResponse> Reply) {
        m_FetchInFlight = false;
        const std::string Duration =
            std::to_string((m_Clock.now() - StartedAt).count());
        wire::FeedState State;
        constexpr int Ok = 200;
        if (!Reply || Reply->m_Status != Ok ||
            !State.ParseFromString(Reply->m_Body)) {
          m_FailedFetches.add();
          m_Events.record(
              base::EventId::DependencyLost,
              {{"on", "feed " + m_Settings.m_Name},
               {"node", Node},
               {"ms", Duration},
               {"why", Reply ? "status " + std::to_string(Reply->m_Status)
                             : Reply.error().m_Message}});
          return;
        }
        std::vector<feed::KeyedRecord> Records;
        Records.reserve(static_cast<std::size_t>(State.records_size()));
        for (const wire::FeedRecord &Each : State.records()) {
          feed::KeyedRecord &Added = Records.emplace_back();
          Added.m_Offset = Each.offset();
          Added.m_Key = Each.key();
          if (Each.has_value())
            Added.m_Value = Each.value();
        }
        m_FetchedBytes.add(Reply->m_Body.size());
        m_Events.record(base::EventId::FeedFetched,
                        {{"feed", m_Settings.m_Name},
                         {"node", Node},
                         {"offset", std::to_string(State.content_offset())},
                         {"bytes", std::to_string(Reply->m_Body.size())},
                         {"ms", Duration}});
        if (m_State.mergeRecords(Records, State.content_offset()))
          notifyChanged();
      });
}

void SharedFeed::recordContact(const base::Error *Failure) {
  const bool Ok = Failure == nullptr;
  if (Ok == m_LogReachable)
    return;
  m_LogReachable = Ok;
  m_Events.record(Ok ? base::EventId::DependencyBack
                     : base::EventId::DependencyLost,
                  {{"on", "log " + m_Settings.m_Name},
                   {"offset", std::to_string(m_State.contentOffset())},
                   {"why", Ok ? std::string() : Failure->m_Message}});
}

void SharedFeed::notifyChanged() { m_OnChanged(); }

} // namespace corneldeck::gateway
