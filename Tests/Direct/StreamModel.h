#ifndef CORNELDECK_TESTS_DIRECT_STREAMMODEL_H
#define CORNELDECK_TESTS_DIRECT_STREAMMODEL_H

#include "Direct/GroupCapacity.h"

#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>

namespace corneldeck::direct::streammodel {

constexpr base::Millis Target{120};
constexpr base::Millis ReportInterval{200};
constexpr int EventsPerStream = 24;
constexpr int Ranks = 8;
constexpr unsigned Capacity = 10;
constexpr int Entries = 4;

inline EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = Capacity;
  Engine.m_StepMillis = 5;
  Engine.m_StepMillisPerRequest = 0.43;
  Engine.m_StepsPerPass = 6;
  return Engine;
}

/// Rank groups and the load on them.
struct Scenario {
  std::size_t m_Groups = 3;
  base::Millis m_Duration = base::seconds(40);
  /// Arrivals per second, by the time in seconds.
  std::function<double(double)> m_Rate;
  /// Ratio of the actual to the balanced pass time, by group and the time in
  /// seconds.
  std::function<double(std::size_t, double)> m_Skew;
};

/// Number of streams by outcome.
struct Outcome {
  int m_InTime = 0;
  int m_Late = 0;
  int m_Refused = 0;
};

/// Entries that admit streams and send them to rank groups, as GatewayNode and
/// RequestForwarder do, and report to each other five times a second.
///
/// All ranks of a group run each pass together. A stream gets an event after
/// each pass; it is late if the time between two events exceeds the target.
class StreamModel {
public:
  StreamModel(Scenario Given, PassTimeEstimate Estimate)
      : m_Scenario(std::move(Given)), m_PassEnds(m_Scenario.m_Groups),
        m_Streams(m_Scenario.m_Groups) {
    ConcurrencyLimiterSettings Settings;
    Settings.m_Estimate = Estimate;
    for (int Index = 0; Index < Entries; ++Index)
      m_Entries.push_back(std::make_unique<Entry>(Settings));
    std::vector<BackendServer> Servers;
    for (std::size_t Group = 0; Group < m_Scenario.m_Groups; ++Group)
      for (int Rank = 0; Rank < Ranks; ++Rank) {
        BackendServer Added;
        Added.m_Id = nameOf(Group) + std::to_string(Rank);
        Added.m_Service = "s";
        Added.m_Address = Added.m_Id;
        Added.m_Capacity = Capacity;
        Servers.push_back(Added);
      }
    for (const auto &Each : m_Entries) {
      Each->m_Pool.replaceServers(Servers, m_Now);
      Each->m_Pool.setGroupRating(
          [this, &Entry = *Each](const RankGroup &Group,
                                 const GroupLoad &Load) {
            return Entry.m_Capacity.rate(Group, Load, &m_Engine, Target, m_Now);
          });
    }
  }

  Outcome run() {
    for (const base::Millis End = m_Now + m_Scenario.m_Duration; m_Now < End;
         m_Now += base::Millis(1)) {
      if (m_Now.count() % ReportInterval.count() == 0)
        report();
      if (m_Arrivals.chance(m_Scenario.m_Rate(seconds()) / 1000))
        arrive();
      for (std::size_t Group = 0; Group < m_Scenario.m_Groups; ++Group)
        if (m_Now >= m_PassEnds[Group])
          endPass(Group);
    }
    return m_Outcome;
  }

private:
  struct Entry {
    explicit Entry(ConcurrencyLimiterSettings Settings) : m_Limiter(Settings) {}
    ServerPool m_Pool{""};
    ConcurrencyLimiter m_Limiter;
    GroupAvailability m_Availability;
    GroupCapacity m_Capacity{m_Pool, m_Limiter, m_Availability};
  };
  struct Stream {
    std::size_t m_Entry = 0;
    std::string m_Server;
    int m_Events = 0;
    bool m_IsLate = false;
    double m_LargestRatio = 0;
    base::Millis m_LastEvent{};
  };

  static std::string nameOf(std::size_t Group) {
    return std::string(1, static_cast<char>('f' + Group));
  }

  [[nodiscard]] double seconds() const {
    return static_cast<double>((m_Now - Begin).count()) / 1000;
  }

  void report() {
    for (std::size_t To = 0; To < m_Entries.size(); ++To) {
      Entry &Receiver = *m_Entries[To];
      Receiver.m_Limiter.advance(m_Now);
      for (std::size_t Group = 0; Group < m_Scenario.m_Groups; ++Group)
        for (int Rank = 0; Rank < Ranks; ++Rank)
          Receiver.m_Pool.groups().update(
              "s", nameOf(Group),
              {RankGroups::addressHash(nameOf(Group) + std::to_string(Rank))},
              m_Now);
      for (std::size_t From = 0; From < m_Entries.size(); ++From) {
        if (From == To)
          continue;
        const Entry &Sender = *m_Entries[From];
        const std::string Name = std::to_string(From);
        Receiver.m_Pool.setPeerLoads(Name, Sender.m_Pool.localLoads(), m_Now);
        Receiver.m_Limiter.setPeerRatios(Name, Sender.m_Limiter.localRatios());
      }
    }
  }

  void arrive() {
    const std::size_t Index = m_Arrivals.below(m_Entries.size());
    Entry &Receiver = *m_Entries[Index];
    const auto Usage = Receiver.m_Capacity.usage("s", m_Engine, Target, m_Now);
    if (Usage.m_InFlight >= Usage.totalCapacity()) {
      ++m_Outcome.m_Refused;
      return;
    }
    const std::string Id =
        Receiver.m_Pool.chooseServer("s", {}, m_Now, m_Rng)->m_Id;
    Receiver.m_Pool.attemptStarted(Id, 0, m_Now);
    m_Streams[static_cast<std::size_t>(Id[0] - 'f')].push_back(
        {Index, Id, 0, false, 0, {}});
  }

  void endPass(std::size_t Group) {
    std::vector<Stream> &Streams = m_Streams[Group];
    std::erase_if(Streams, [&](Stream &Each) {
      Entry &Forwarder = *m_Entries[Each.m_Entry];
      if (Each.m_Events++ > 0) {
        const base::Millis Interval = m_Now - Each.m_LastEvent;
        Each.m_IsLate = Each.m_IsLate || Interval > Target;
        Each.m_LargestRatio =
            std::max(Each.m_LargestRatio,
                     Forwarder.m_Capacity.recordInterval(
                         "s", Each.m_Server, m_Engine, Interval, m_Now));
      }
      Each.m_LastEvent = m_Now;
      if (Each.m_Events < EventsPerStream)
        return false;
      ++(Each.m_IsLate ? m_Outcome.m_Late : m_Outcome.m_InTime);
      Forwarder.m_Capacity.recordStream("s", Each.m_Server,
                                        Each.m_LargestRatio);
      Forwarder.m_Pool.attemptEnded(Each.m_Server, 0);
      return true;
    });
    const double Requests = static_cast<double>(Streams.size()) / Ranks;
    const double Pass =
        m_Engine.m_StepsPerPass *
        (m_Engine.m_StepMillis + m_Engine.m_StepMillisPerRequest * Requests) *
        m_Scenario.m_Skew(Group, seconds()) * m_Rng.normal(1, 0.02);
    m_PassEnds[Group] = m_Now + base::Millis(std::max(1L, std::lround(Pass)));
  }

  static constexpr base::Millis Begin = base::seconds(10);

  const Scenario m_Scenario;
  const EngineProfile m_Engine = engine();
  /// Arrivals have random numbers of their own, so that all estimates get the
  /// same load.
  base::Random m_Arrivals{13};
  base::Random m_Rng{11};
  base::Millis m_Now = Begin;
  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::vector<base::Millis> m_PassEnds;
  std::vector<std::vector<Stream>> m_Streams;
  Outcome m_Outcome;
};

/// Runs a scenario with both estimates and prints the outcomes.
struct Comparison {
  explicit Comparison(const Scenario &Given)
      : m_Smoothed(StreamModel(Given, PassTimeEstimate::Smoothed).run()),
        m_Distribution(
            StreamModel(Given, PassTimeEstimate::Distribution).run()) {
    print("smoothed", m_Smoothed);
    print("distribution", m_Distribution);
  }

  static void print(const char *Name, const Outcome &Of) {
    std::cout << Name << ": " << Of.m_InTime << " in time, " << Of.m_Late
              << " late, " << Of.m_Refused << " refused\n";
  }

  /// Expects that the distribution serves as many streams in time. Runs with
  /// other random numbers differ by a few percent.
  void expectNotFewer() const {
    constexpr double Tolerance = 0.05;
    EXPECT_GE(m_Distribution.m_InTime, (1 - Tolerance) * m_Smoothed.m_InTime);
  }

  Outcome m_Smoothed;
  Outcome m_Distribution;
};

inline Scenario scenario(std::function<double(double)> Rate,
                         std::function<double(std::size_t, double)> Skew) {
  Scenario Made;
  Made.m_Rate = std::move(Rate);
  Made.m_Skew = std::move(Skew);
  return Made;
}

inline std::function<double(double)> constant(double Rate) {
  return [Rate](double) { return Rate; };
}

/// Rises threefold within 6 s and falls in the other 7 s of 13 s.
inline std::function<double(double)> wave(double Lowest) {
  return [Lowest](double Second) {
    const double Phase = std::fmod(Second, 13);
    return Lowest * (1 + 2 * (Phase < 6 ? Phase / 6 : (13 - Phase) / 7));
  };
}

inline std::function<double(std::size_t, double)> steady(double Skew) {
  return [Skew](std::size_t, double) { return Skew; };
}

/// 1.1, and \p Highest for one second in each period; the groups one after the
/// other.
inline std::function<double(std::size_t, double)> jumping(double Highest,
                                                          double Period) {
  return [Highest, Period](std::size_t Group, double Second) {
    const double Offset = static_cast<double>(Group) * Period / 3;
    return std::fmod(Second + Offset, Period) < 1 ? Highest : 1.1;
  };
}

/// The load that all groups can just serve, and one far above.
constexpr double ModerateRate = 90;
constexpr double HighRate = 150;

} // namespace corneldeck::direct::streammodel

#endif
