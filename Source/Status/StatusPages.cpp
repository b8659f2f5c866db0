#include "Status/StatusPages.h"

#include <nlohmann/json.hpp>

namespace corneldeck::status {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::string dump(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// \returns \p Target without its query string.
std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

json eventToJson(const base::TimelineEvent &Event) {
  json Fields = json::object();
  for (const auto &[Key, Value] : Event.m_Fields)
    Fields[Key] = Value;
  return {{"stamp", Event.m_Stamp},
          {"node", Event.m_Node},
          {"id", static_cast<int>(Event.m_Id)},
          {"name", std::string(base::name(Event.m_Id))},
          {"fields", Fields}};
}

base::TimelineEvent eventFromJson(const json &Document) {
  base::TimelineEvent Event;
  Event.m_Stamp = Document.at("stamp").get<std::uint64_t>();
  Event.m_Node = Document.at("node").get<std::string>();
  Event.m_Id = static_cast<base::EventId>(Document.at("id").get<int>());
  for (const auto &[Key, Value] : Document.at("fields").items())
    Event.m_Fields.emplace_back(Key, Value.get<std::string>());
  return Event;
}

} // namespace

StatusPages::StatusPages(const metrics::Registry &Metrics,
                         const base::Timeline &Events,
                         std::function<Readiness()> Ready)
    : m_Metrics(Metrics), m_Events(Events), m_Ready(std::move(Ready)) {}

bool StatusPages::handle(net::HttpExchange &Exchange) const {
  const std::string_view Path = pathOf(Exchange.target());
  if (Path == "/health") {
    Exchange.respond(net::jsonResponse(R"({"healthy":true})"));
  } else if (Path == "/ready") {
    const Readiness Now = m_Ready();
    const json Body = {{"ready", Now.m_Ready}, {"reason", Now.m_Reason}};
    Exchange.respond(net::jsonResponse(
        dump(Body), Now.m_Ready ? StatusOk : StatusUnavailable));
  } else if (Path == "/metrics") {
    Exchange.respond(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                     m_Metrics.expose());
  } else if (Path == "/timeline" || Path == "/operator/timeline") {
    Exchange.respond(net::jsonResponse(timelineToJson(m_Events.events())));
  } else {
    return false;
  }
  return true;
}

std::string timelineToJson(const std::vector<base::TimelineEvent> &Events) {
  json List = json::array();
  for (const base::TimelineEvent &Event : Events)
    List.push_back(eventToJson(Event));
  return dump({{"events", List}});
}

base::Result<std::vector<base::TimelineEvent>>
timelineFromJson(const std::string &Body) {
  std::vector<base::TimelineEvent> Events;
  try {
    const json Document = json::parse(Body);
    for (const json &Item : Document.at("events"))
      Events.push_back(eventFromJson(Item));
  } catch (const json::exception &Failure) {
    return base::failure(base::ResultCode::BadMessage,
                         std::string("the time line can't be parsed: ") +
                             Failure.what());
  }
  return Events;
}

} // namespace corneldeck::status
