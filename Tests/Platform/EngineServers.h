#ifndef CORNELDECK_TESTS_SOAK_ENGINESERVERS_H
#define CORNELDECK_TESTS_SOAK_ENGINESERVERS_H

#include "Base/Random.h"
#include "Net/HttpServer.h"
#include "RankAgent/SimulatedEngines.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// Faults of the stand-in engines.
struct EngineFaults {
  /// Fraction of orders that get no response and are executed seconds later.
  double m_LateRate = 0;
  /// Fraction of orders that get no response and are never executed.
  double m_LostRate = 0;
  /// Whether the engine of the last rank switches to new maps one step later
  /// than it reports.
  bool m_SwitchesLate = false;
  /// Whether the engines ignore the release of a held step.
  bool m_IgnoresRelease = false;
};

/// The engines of one rank group, each with the platform's interface on an
/// address of its own.
class EngineServers {
public:
  EngineServers(boost::asio::io_context &Context, GroupShape Shape,
                std::uint64_t Seed);

  /// Returns the address of the engine of a rank.
  [[nodiscard]] const std::string &address(std::uint32_t Rank) const {
    return m_Addresses[Rank];
  }
  /// Starts the passes that are due.
  void advance();
  /// Returns the number of the pass that started last.
  [[nodiscard]] std::uint64_t step() const;
  [[nodiscard]] SimulatedEngines &engines() { return m_Engines; }

  EngineFaults m_Faults;

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  void handle(std::uint32_t Rank, const ExchangePtr &Exchange);
  void handleOrder(std::uint32_t Rank, const ExchangePtr &Exchange);
  rankgroup::OrderResult execute(std::uint32_t Rank,
                                 rankgroup::SwitchOrder Order);
  [[nodiscard]] std::string report(std::uint32_t Rank) const;
  [[nodiscard]] std::string lists(std::uint32_t Rank) const;
  [[nodiscard]] std::string counts(std::uint32_t Rank) const;
  /// Returns whether the engine of a rank switches later than it reports.
  [[nodiscard]] bool switchesLate(std::uint32_t Rank) const {
    return m_Faults.m_SwitchesLate && Rank + 1 == m_Engines.shape().m_Ranks;
  }
  [[nodiscard]] base::Millis now() const { return m_Clock.now() - m_Start; }

  boost::asio::io_context &m_Context;
  const base::Clock m_Clock = base::steadyClock();
  const base::Millis m_Start = m_Clock.now();
  base::Random m_Rng;
  SimulatedEngines m_Engines;
  std::vector<std::unique_ptr<net::HttpServer>> m_Servers;
  std::vector<std::string> m_Addresses;
};

} // namespace corneldeck::tests

#endif
