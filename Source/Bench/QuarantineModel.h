#ifndef CORNELDECK_BENCH_QUARANTINEMODEL_H
#define CORNELDECK_BENCH_QUARANTINEMODEL_H

#include "Base/Random.h"
#include "Direct/PromptQuarantine.h"
#include "Fakes/VirtualTime.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How the entries use the quarantine.
enum class QuarantineMode {
  Shared,        ///< As the product does.
  None,          ///< No quarantine; requests are repeated.
  EachAlone,     ///< Entries exchange nothing.
  FirstPart,     ///< Only the first part of a prompt is considered.
  NeverReleased, ///< Served requests and trials are ignored.
  TrialsAlone    ///< Entries do not exchange quarantines, so each one tries.
};

/// What the prompts of requests look like.
enum class PromptShape {
  Short,    ///< Two parts, and the fatal one.
  Long,     ///< Two documents of many parts, and many parts of one session.
  Repeated, ///< The same, with the parts of the first document twice.
  LongIds   ///< The same, with ids of over 16 digits.
};

/// Parameters of QuarantineModel.
struct QuarantineOptions {
  std::size_t m_Entries = 9;
  std::size_t m_Servers = 12;
  double m_SoundPerSecond = 60;
  double m_FatalPerSecond = 6;
  /// Number of parts that end servers.
  std::size_t m_FatalParts = 1;
  std::uint64_t m_Seed = 1;
  QuarantineMode m_Mode = QuarantineMode::Shared;
  PromptShape m_Prompts = PromptShape::Short;
};

/// Entries with the product's quarantine in front of a group of servers that
/// end when they begin to write a response on certain parts.
///
/// When a server ends, the group stalls, then cuts off its work and accepts
/// requests again some seconds later, as rank groups do.
class QuarantineModel {
public:
  explicit QuarantineModel(QuarantineOptions Options);

  /// Sends requests that end servers from now on, or stops them.
  void sendFatal(bool IsOn);
  /// Ends a server for a reason outside of requests.
  void endServer();
  /// Starts half of the entries anew, with empty memory.
  void restartHalf();
  /// Cuts an entry off from the others, or connects it again.
  void setCutOff(std::size_t Entry, bool IsCutOff);
  /// Quarantines the most common part at an entry.
  void blameWrongly(std::size_t Entry);

  void runFor(base::Millis Span);
  [[nodiscard]] base::Millis now() const { return m_Time.now(); }

  /// Results since the start or the last call of resetOutcomes().
  struct Outcomes {
    /// Servers that ended under requests, and when.
    std::vector<base::Millis> m_Ends;
    /// When requests with a fatal part reached servers.
    std::vector<base::Millis> m_FatalArrivals;
    /// Sound requests that came while the group was open, and those of them
    /// that began at the first attempt.
    std::uint64_t m_Sound = 0;
    std::uint64_t m_SoundBegun = 0;
    std::uint64_t m_Trials = 0;
    /// Bytes of statements that the busiest entry received.
    std::uint64_t m_MaxBytes = 0;

    /// Returns the arrivals later than \p Window after the fifth end.
    [[nodiscard]] std::size_t lateArrivals(base::Millis Window) const;
    [[nodiscard]] double soundRatio() const;
  };
  [[nodiscard]] const Outcomes &outcomes() const { return m_Outcomes; }
  void resetOutcomes() { m_Outcomes = {}; }

  /// Returns whether an entry refuses requests with the most common part.
  [[nodiscard]] bool refusesCommonPart() const;
  /// Returns whether all entries refuse requests with the first fatal part.
  [[nodiscard]] bool allRefuseFatalPart() const;

private:
  struct Request {
    std::size_t m_Entry = 0;
    /// Changes when the entry is started anew.
    unsigned m_Incarnation = 0;
    direct::PromptParts m_Parts;
    bool m_IsFatal = false;
    bool m_HasBegun = false;
    bool m_IsServed = false;
    bool m_HasEnded = false;
    bool m_IsTrial = false;
    unsigned m_Attempts = 0;
    std::size_t m_Server = 0;
    unsigned m_ServerStart = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Entry {
    std::unique_ptr<direct::PromptQuarantine> m_Quarantine;
    unsigned m_Incarnation = 0;
    bool m_IsCutOff = false;
    bool m_HasNews = false;
    std::uint64_t m_Bytes = 0;
  };
  struct Server {
    unsigned m_Start = 0;
    bool m_IsAlive = true;
    std::vector<RequestPtr> m_Requests;
  };

  void startEntry(std::size_t Index);
  void heartbeat(std::size_t Index);
  /// Sends the statements of an entry to all others.
  void sendStatements(std::size_t From, base::Millis MinDelay,
                      base::Millis MaxDelay, bool CountBytes);
  void sendNews(std::size_t From);
  void withdraw(std::size_t Entry, std::uint64_t Part);

  void arriveSound();
  void arriveFatal();
  void arrive(const RequestPtr &Arrived);
  void confirmTrial(const RequestPtr &Tried, std::uint64_t Part);
  void send(const RequestPtr &Sent);
  void begin(const RequestPtr &Begun);
  void serve(const RequestPtr &Served);
  void crash(std::size_t Index);
  void breakRequest(const RequestPtr &Broken);
  void reopenGroup();
  [[nodiscard]] bool isKnownClosed() const {
    return m_IsStalled && m_Time.now() >= m_CutOffAt;
  }
  [[nodiscard]] base::Millis uniform(base::Millis Min, base::Millis Max);
  /// Draws one of the parts that many requests share.
  [[nodiscard]] std::uint64_t drawCommonPart();
  [[nodiscard]] direct::PromptParts considered(direct::PromptParts Parts) const;
  /// Returns the decoded prompt of a request with two common parts and, maybe,
  /// a fatal one.
  [[nodiscard]] direct::PromptParts promptOf(const direct::PromptParts &Parts);

  const QuarantineOptions m_Options;
  fakes::VirtualTime m_Time;
  base::Random m_Rng;
  std::vector<Entry> m_Entries;
  std::vector<Server> m_Servers;
  bool m_IsSendingFatal = false;
  std::uint64_t m_NextPart = 1'000'000;
  /// The key of the first fatal part.
  std::uint64_t m_FatalKey;
  /// Whether a rank is lost, and when the others cut off their work.
  bool m_IsStalled = false;
  base::Millis m_CutOffAt{};
  unsigned m_Outages = 0;
  Outcomes m_Outcomes;
};

} // namespace corneldeck::bench

#endif
