#ifndef CORNELDECK_DIRECT_PROMPTQUARANTINE_H
#define CORNELDECK_DIRECT_PROMPTQUARANTINE_H

#include "Base/Millis.h"
#include "Direct/ServerEnds.h"

#include <bitset>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corneldeck::direct {

/// Keys of parts of prompts, in the order of the prompt. Keys may repeat.
using PromptParts = std::vector<std::uint64_t>;

/// The end of a backend server, for the other entries.
struct ServerEndStatement {
  ServerStart m_Start;
  std::string m_Service;
  /// Entry that had the requests in flight.
  std::string m_Reporter;
  base::Millis m_Age{};
  /// Parts of the prompts of requests under which the server may have ended.
  PromptParts m_Parts;
};

/// A part that is or was quarantined, for the other entries.
struct PartStatement {
  std::string m_Service;
  std::uint64_t m_Part = 0;
  /// Number of quarantines of the part so far. A statement with a higher number
  /// supersedes one with a lower number.
  std::uint32_t m_Number = 0;
  bool m_IsReleased = false;
  /// Whether the part alone explains ends at several times.
  bool m_IsConfirmed = false;
  /// Whether an entry knows that requests with the part were served before the
  /// ends, so that a trial has to decide.
  bool m_WasServed = false;
  /// Number of trials so far, and the entry that makes or made the last one.
  std::uint32_t m_Trials = 0;
  std::string m_TrialEntry;
  /// Whether a server ended under a trial.
  bool m_HasTrialFailed = false;
  /// Time since the last trial or, without one, the begin.
  base::Millis m_Age{};
  base::Millis m_FirstEndAge{};
  /// Number of the ends, and of their different times.
  std::uint32_t m_Ends = 0;
  std::uint32_t m_EndTimes = 0;
  /// Ids of some of the servers that ended.
  std::vector<std::string> m_Servers;
  /// Entry that began the quarantine.
  std::string m_Reporter;
};

/// Settings of PromptQuarantine.
struct PromptQuarantineSettings {
  /// Ends that have a part in common before it is quarantined.
  std::size_t m_MinEnds = 2;
  /// The same for a part with which requests were served, in ends at different
  /// times since.
  std::size_t m_MinEndsOfServed = 4;
  /// Ends within this time count as one time: servers can have a common cause
  /// outside of requests.
  base::Millis m_SimultaneousEnds = base::Millis(250);
  /// Time for which ends, served parts and released parts are kept.
  base::Millis m_Memory = base::minutes(10);
  /// Time until the first trial of a part. Grows by m_TrialFactor with each
  /// trial, up to m_MaxTrialDelay.
  base::Millis m_TrialDelay = base::seconds(60);
  base::Millis m_MaxTrialDelay = base::minutes(1440);
  /// The same for a part that is not confirmed, up to m_TrialDelay.
  base::Millis m_UnconfirmedTrialDelay = base::seconds(2);
  std::int64_t m_TrialFactor = 4;
  std::int64_t m_UnconfirmedTrialFactor = 2;
  /// Time in which an end or a quarantine is in every heartbeat; afterwards in
  /// each m_StatementInterval.
  base::Millis m_NewStatements = base::seconds(3);
  base::Millis m_StatementInterval = base::seconds(1);
  /// Time for which a request that was probably served protects its parts: the
  /// longest until it is confirmed, and a tick of the timer that does so.
  base::Millis m_UnconfirmedTime = base::Millis(10'200);
  std::size_t m_MaxUnconfirmedParts = 8192;
  // Limits of memory and messages. Callers choose the parts. A header section
  // of 16,384 bytes has up to 4,096 parts.
  std::size_t m_MaxServedParts = 65'536;
  /// Parts of one request that are added to the served ones. Those that are
  /// known are always updated.
  std::size_t m_MaxNewServedParts = 512;
  std::size_t m_MaxEnds = 64;
  std::size_t m_MaxPartsPerEnd = 4096;
  /// Parts of all ends together; above that, the oldest keep
  /// m_MinPartsPerEnd each.
  std::size_t m_MaxPartsOfEnds = 32'768;
  std::size_t m_MinPartsPerEnd = 64;
  std::size_t m_MaxParts = 64;
  /// Parts with the same ends that are quarantined by this entry; the next end
  /// tells them apart.
  std::size_t m_MaxAmbiguousParts = 16;
  std::size_t m_MaxEndStatements = 8;
  std::size_t m_MaxPartsPerStatement = 16;
  /// The same while an end is younger than m_LongStatements, which is one
  /// message at the end and one heartbeat, and for all ends of a message
  /// together. Keeps messages below the size of a datagram.
  std::size_t m_MaxNewPartsPerStatement = 1024;
  std::size_t m_MaxNewPartsPerMessage = 2048;
  base::Millis m_LongStatements = base::Millis(250);
};

/// Finds the part of prompts that ends backend servers, and keeps requests with
/// it from the others until a trial shows that they run.
///
/// Pattern: quarantine of a query of death. Each entry sees few of the ends, so
/// entries exchange them. A part is quarantined if several servers ended under
/// requests with it and no request with it has been served since; what most
/// requests have in common is served all the time by other servers. Of several
/// such parts, one that other parts explain completely is left out.
///
/// Quarantines and releases are exchanged too. A release supersedes the
/// quarantine with its number, a later quarantine of the part has a higher one.
/// At most one entry tries a part at a time: it announces the trial, waits
/// until the others have received that, and all wait longer for the next one.
class PromptQuarantine {
public:
  /// What is done with a request.
  enum class Verdict {
    Permitted,
    Refused,
    Trial ///< Is sent if confirmTrial() permits it after the announcement.
  };
  struct Decision {
    Verdict m_Verdict = Verdict::Permitted;
    /// The part in quarantine.
    std::uint64_t m_Part = 0;
    /// Time until the next trial may begin.
    base::Millis m_RetryAfter{};
  };

  /// A change of what is known about a part.
  struct Change {
    enum class Type { Quarantined, Confirmed, Trial, Released };
    Type m_Type = Type::Quarantined;
    PartStatement m_Part;
    /// Entry that reported the change; empty for a decision of this entry.
    std::string m_From;
    base::Millis m_TrialIn{};
  };

  /// \param Entry the name of this entry.
  explicit PromptQuarantine(std::string Entry,
                            PromptQuarantineSettings Settings = {})
      : m_Entry(std::move(Entry)), m_Settings(Settings) {}

  /// Sets the function that is called after each change.
  void onChange(std::function<void(const Change &)> OnChange) {
    m_OnChange = std::move(OnChange);
  }
  /// Sets the function that is called when statements must be sent to the other
  /// entries at once.
  void onNews(std::function<void()> OnNews) { m_OnNews = std::move(OnNews); }

  /// Decides on a new request. The cost of a part that is not quarantined is
  /// that of one access to a table of bits.
  /// \param MayTry whether a trial can be sent, since servers accept requests.
  Decision check(const std::string &Service, const PromptParts &Parts,
                 base::Millis Now, bool MayTry);

  /// Returns whether this entry makes the trial of a part that check() has
  /// begun. Called after the announcement has reached the other entries.
  [[nodiscard]] bool confirmTrial(const std::string &Service,
                                  std::uint64_t Part) const;

  /// Returns the first of \p Parts that is quarantined.
  [[nodiscard]] std::optional<std::uint64_t>
  findQuarantined(const std::string &Service, const PromptParts &Parts) const;

  /// Returns whether no request with one of the parts is known to have been
  /// served.
  [[nodiscard]] bool isSuspect(const std::string &Service,
                               const PromptParts &Parts,
                               base::Millis Now) const;

  /// Records that a server runs or has run a request and has not ended.
  /// \param ServedAt when that was, if it is known only later; a quarantine
  /// that began after that remains unless the request contradicts it.
  void recordServed(const std::string &Service, const PromptParts &Parts,
                    base::Millis Now,
                    std::optional<base::Millis> ServedAt = std::nullopt);

  /// Records that a request was probably served, which is confirmed or dropped
  /// later. Until then its parts are not blamed for ends before \p At.
  void recordUnconfirmed(const std::string &Service, const PromptParts &Parts,
                         base::Millis At);
  void dropUnconfirmed(const std::string &Service, const PromptParts &Parts,
                       base::Millis At);

  /// Records that a server ended under a request of this entry.
  void recordEnd(const ServerStart &Start, const std::string &Service,
                 const PromptParts &Parts, base::Millis Now);

  /// Makes the next trials of all parts of a service due, since its servers
  /// were replaced by others.
  void serviceReplaced(const std::string &Service, base::Millis Now);

  /// Apply what another entry reports.
  void applyEnd(const ServerEndStatement &Statement, base::Millis Now);
  void applyPart(const PartStatement &Statement, const std::string &From,
                 base::Millis Now);

  /// Return the statements for the next heartbeat.
  [[nodiscard]] std::vector<ServerEndStatement> endStatements(base::Millis Now);
  [[nodiscard]] std::vector<PartStatement> partStatements(base::Millis Now);

  /// Returns all parts that are quarantined, with the time until their next
  /// trial.
  [[nodiscard]] std::vector<std::pair<PartStatement, base::Millis>>
  quarantined(base::Millis Now) const;
  [[nodiscard]] std::size_t quarantinedCount() const;

  /// Returns the number of ends, parts and served parts that are kept.
  [[nodiscard]] std::size_t size() const {
    return m_Ends.size() + m_Parts.size() + m_Served.size() +
           m_EarlierServed.size();
  }

private:
  struct PartKey {
    std::string m_Service;
    std::uint64_t m_Part = 0;
  };
  /// Compares keys without copying the name of the service.
  struct PartKeyOrder {
    // The standard library looks for this name.
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    using View = std::pair<std::string_view, std::uint64_t>;

    static View view(const PartKey &Key) { return {Key.m_Service, Key.m_Part}; }
    static View view(const View &Key) { return Key; }
    template <typename A, typename B>
    bool operator()(const A &Left, const B &Right) const {
      return view(Left) < view(Right);
    }
  };
  struct End {
    ServerStart m_Start;
    std::string m_Service;
    std::string m_Reporter;
    base::Millis m_At{};
    /// In ascending order, each once.
    PromptParts m_Parts;
    /// Those of requests of this entry, the most suspicious first.
    PromptParts m_OwnParts;
  };
  struct State {
    /// The ages are not set.
    PartStatement m_Statement;
    /// When the last trial or, without one, the quarantine began, or ended.
    base::Millis m_Since{};
    base::Millis m_FirstEndAt{};
    base::Millis m_NextTrialAt{};
    base::Millis m_ChangedAt{};
  };
  /// The ends of a service that have a part in common.
  struct Evidence {
    std::vector<const End *> m_Ends;
    /// Number of different times of the ends.
    std::size_t m_Times = 0;
  };
  using EvidenceByPart = std::map<std::uint64_t, Evidence>;
  /// Enough that with m_MaxParts parts 63 of 64 others need no search.
  static constexpr std::size_t FilterBits = 4096;

  static std::size_t filterIndex(std::uint64_t Part);
  void updateFilter();

  [[nodiscard]] std::optional<base::Millis>
  lastServed(const std::string &Service, std::uint64_t Part,
             base::Millis Now) const;
  void markServed(const std::string &Service, std::uint64_t Part,
                  base::Millis At);
  End &findOrAddEnd(const ServerStart &Start, const std::string &Service,
                    const std::string &Reporter, base::Millis At);
  /// Adds parts to an end.
  /// \returns whether one of them is in another end too.
  bool addParts(End &Target, const PromptParts &Added, base::Millis Now);
  /// Returns up to \p MaxCount of \p Parts without repeats: those that were
  /// never served first, then those that were served longest ago. Prompts grow
  /// at their end, so the later of several come first.
  [[nodiscard]] PromptParts mostSuspicious(const std::string &Service,
                                           const PromptParts &Parts,
                                           std::size_t MaxCount,
                                           base::Millis Now) const;
  /// Keeps fewer parts of the oldest ends if all together have too many.
  void limitEvidence(base::Millis Now);
  /// Counts the parts of all ends again.
  void countParts();
  void expire(base::Millis Now);

  [[nodiscard]] EvidenceByPart collectEvidence(const std::string &Service,
                                               base::Millis Now) const;
  [[nodiscard]] bool isEnough(const std::string &Service, std::uint64_t Part,
                              const Evidence &Found, base::Millis Now) const;
  /// Decides on the quarantine of all parts of \p Service.
  void evaluate(const std::string &Service, base::Millis Now);
  void beginQuarantine(const PartKey &Key, const Evidence &Found,
                       bool IsConfirmed, base::Millis Now);
  void confirm(State &Known, base::Millis Now, const std::string &From);
  /// Makes the first trial of a part due soon, since it was served before.
  void doubt(State &Known);
  void release(State &Known, base::Millis Now, const std::string &From);
  void adopt(const PartStatement &Statement, const std::string &From,
             base::Millis Now);
  /// Returns whether served requests of this entry contradict a quarantine.
  [[nodiscard]] bool contradicts(const PartStatement &Statement,
                                 base::Millis Now) const;
  [[nodiscard]] State *findActive(const std::string &Service,
                                  std::uint64_t Part);
  [[nodiscard]] const State *findActive(const std::string &Service,
                                        std::uint64_t Part) const;
  [[nodiscard]] base::Millis trialDelay(const PartStatement &Statement) const;
  [[nodiscard]] PartStatement statementOf(const State &Known,
                                          base::Millis Now) const;
  void report(Change::Type Type, const State &Known, const std::string &From,
              base::Millis Now) const;
  void announce() const;

  const std::string m_Entry;
  const PromptQuarantineSettings m_Settings;
  std::vector<End> m_Ends;
  /// Number of ends that contain a part, and the parts that several contain.
  std::unordered_map<std::uint64_t, std::uint32_t> m_EndCounts;
  std::set<std::uint64_t> m_RepeatedParts;
  std::map<PartKey, State, PartKeyOrder> m_Parts;
  /// The bit filterIndex() of each part in quarantine.
  std::bitset<FilterBits> m_Filter;
  /// When requests with a part were served last. The recent and the earlier
  /// half, so that the oldest are dropped first.
  std::unordered_map<std::uint64_t, base::Millis> m_Served;
  std::unordered_map<std::uint64_t, base::Millis> m_EarlierServed;
  /// When requests with a part were probably served last.
  std::unordered_map<std::uint64_t, base::Millis> m_Unconfirmed;
  base::Millis m_LastStatements{};
  std::function<void(const Change &)> m_OnChange;
  std::function<void()> m_OnNews;
};

/// Returns the name of \p Type for logs.
std::string_view name(PromptQuarantine::Change::Type Type);

} // namespace corneldeck::direct

#endif
