#include "EngineServers.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace corneldeck::tests {

using nlohmann::json;
using rankgroup::OrderResult;
using rankgroup::SwitchOrder;
using rankgroup::SwitchOrderKind;

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;

SwitchOrderKind kindOf(const std::string &Operation) {
  if (Operation == "prepare")
    return SwitchOrderKind::Prepare;
  if (Operation == "arm")
    return SwitchOrderKind::Arm;
  if (Operation == "retain")
    return SwitchOrderKind::Hold;
  return Operation == "go" ? SwitchOrderKind::Release : SwitchOrderKind::None;
}

rankgroup::LayerMaps decodeMapping(const json &Sets, const GroupShape &Shape) {
  rankgroup::LayerMaps Maps;
  for (const json &Set : Sets) {
    rankgroup::ExpertMap &Map =
        Maps.emplace_back(Shape.m_Ranks, Shape.m_Experts);
    for (std::size_t Rank = 0; Rank < Set.size(); ++Rank)
      for (const json &Expert : Set[Rank])
        Map.add(Expert.get<std::uint32_t>(),
                static_cast<rankgroup::ExpertMap::Rank>(Rank));
  }
  return Maps;
}

SwitchOrder decodeOrder(const std::string &Text, const GroupShape &Shape) {
  const json Body = json::parse(Text);
  SwitchOrder Order;
  Order.m_Kind = kindOf(Body.at("operation"));
  Order.m_Epoch = Body.at("epoch");
  Order.m_Version = Body.value("version", 0);
  Order.m_Step = Body.value("step", 0);
  if (Body.contains("mapping"))
    Order.m_Maps = decodeMapping(Body["mapping"], Shape);
  return Order;
}

} // namespace

EngineServers::EngineServers(boost::asio::io_context &Context, GroupShape Shape,
                             std::uint64_t Seed)
    : m_Context(Context), m_Rng(Seed), m_Engines(Shape, Seed) {
  for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank) {
    m_Servers.push_back(std::make_unique<net::HttpServer>(
        Context, net::HttpServerOptions(),
        [this, Rank](const ExchangePtr &Exchange) { handle(Rank, Exchange); }));
    m_Addresses.push_back(*m_Servers.back()->listen("127.0.0.1:0"));
  }
}

void EngineServers::advance() { m_Engines.advance(now()); }

std::uint64_t EngineServers::step() const {
  return m_Engines.state(0, now()).m_Step;
}

void EngineServers::handle(std::uint32_t Rank, const ExchangePtr &Exchange) {
  const std::string_view Target = Exchange->target();
  if (Target == "/order")
    handleOrder(Rank, Exchange);
  else if (Target == "/report")
    Exchange->respond(net::jsonResponse(report(Rank), Ok));
  else
    Exchange->respond(net::jsonResponse(
        Target.find("lists=1") == std::string_view::npos ? counts(Rank)
                                                         : lists(Rank),
        Ok));
}

void EngineServers::handleOrder(std::uint32_t Rank,
                                const ExchangePtr &Exchange) {
  SwitchOrder Order;
  try {
    Order = decodeOrder(Exchange->body(), m_Engines.shape());
  } catch (const json::exception &Problem) {
    Exchange->respond(
        net::jsonResponse(json(Problem.what()).dump(), BadRequest));
    return;
  }
  if (m_Rng.chance(m_Faults.m_LostRate)) {
    Exchange->abort();
    return;
  }
  if (m_Rng.chance(m_Faults.m_LateRate)) {
    constexpr std::uint64_t MinDelay = 2000;
    constexpr std::uint64_t DelayRange = 4000;
    auto Timer = std::make_shared<boost::asio::steady_timer>(m_Context);
    Timer->expires_after(
        std::chrono::milliseconds(MinDelay + m_Rng.below(DelayRange)));
    Timer->async_wait(
        [this, Timer, Rank, Order](const boost::system::error_code &Code) {
          if (!Code)
            execute(Rank, Order);
        });
    Exchange->abort();
    return;
  }
  const bool IsAccepted = execute(Rank, Order) == OrderResult::Accepted;
  Exchange->respond(net::jsonResponse("{}", IsAccepted ? Ok : Conflict));
}

OrderResult EngineServers::execute(std::uint32_t Rank, SwitchOrder Order) {
  if (Order.m_Kind == SwitchOrderKind::Release && m_Faults.m_IgnoresRelease)
    return OrderResult::Accepted;
  if (Order.m_Kind == SwitchOrderKind::Arm && switchesLate(Rank))
    ++Order.m_Step;
  return m_Engines.order(Rank, Order, now());
}

std::string EngineServers::report(std::uint32_t Rank) const {
  const rankgroup::RankState State = m_Engines.state(Rank, now());
  json Report = {{"group",
                  {{"name", State.m_Group},
                   {"epoch", State.m_Epoch},
                   {"rank", State.m_Rank},
                   {"lifecycle-state", State.m_Open ? "open" : "forming"}}},
                 {"size", State.m_Size},
                 {"step", State.m_Step},
                 {"mapping", State.m_MapVersion},
                 {"preloaded", State.m_PreparedVersion},
                 {"held", State.m_HeldStep}};
  if (State.m_ArmedVersion != 0)
    Report["enabled"] = {
        {"version", State.m_ArmedVersion},
        {"step", State.m_ArmedStep - (switchesLate(Rank) ? 1 : 0)}};
  return Report.dump();
}

std::string EngineServers::lists(std::uint32_t Rank) const {
  const rankgroup::RankExperts Lists = m_Engines.experts(Rank);
  return json{
      {"epoch", Lists.m_Epoch},
      {"mapping",
       {{"version", Lists.m_MapVersion}, {"experts", Lists.m_ExpertsBySet}}}}
      .dump();
}

std::string EngineServers::counts(std::uint32_t Rank) const {
  const rankgroup::ExpertCounts Counts = m_Engines.counts(Rank);
  return json{{"epoch", Counts.m_Epoch},
              {"step", Counts.m_Step},
              {"counts", Counts.m_Counts}}
      .dump();
}

} // namespace corneldeck::tests
