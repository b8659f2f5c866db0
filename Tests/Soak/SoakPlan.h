#ifndef CORNELDECK_TESTS_SOAK_SOAKPLAN_H
#define CORNELDECK_TESTS_SOAK_SOAKPLAN_H

#include "Base/Millis.h"
#include "Base/Random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// Id of the part of prompts that ends servers, hexadecimal.
inline constexpr const char *FatalPart = "fa7a1";

/// A mistake that is played from outside; the soak must report it.
enum class Plant {
  None,
  RetryAfterSilence, ///< A request that may run once reaches a second server.
  VersionGoesBack,   ///< An entry answers as before a version that it served.
  LeavingStillUsed,  ///< A draining server still receives requests.
  AnswerOfAnother,   ///< A caller gets the answer to another request.
  LimitExceeded,     ///< A server with a rate limit gets requests 30 times.
  NoticeIgnored,  ///< A server gets requests after it has said that it leaves.
  PauseIgnored,   ///< A server gets three requests before its pause is over.
  EraIgnored,     ///< An older copy of the log counts as newer than itself.
  FatalPartHidden ///< Entries cannot see the part of prompts that ends servers.
};

enum class StepKind {
  KillEntry,
  FreezeEntry,
  StopEntry,
  ReloadEntry,
  ResetLinks,     ///< Resets the connections of a server.
  BreakLink,      ///< The value is a LinkFault.
  ChangeBehavior, ///< The value is a Behavior.
  HealServer,     ///< Ends the faults of a server and its link.
  LeaveServer,    ///< The server drains and a new one registers.
  PauseServer,    ///< The server wants no requests.
  SayLeaving,     ///< The server says that it leaves, and starts again.
  NameLimit,      ///< The value is the rate limit per second.
  Publish,        ///< The value is the number of versions.
  BreakStore,     ///< The value is the way.
  HealStore,
  CopyStore,
  ReturnStore ///< The store returns with its copy.
};

/// Returns the name of \p Kind, such as "kill-entry".
const char *name(StepKind Kind);

/// What happens at one time of a run.
struct Step {
  /// Time from the start of the run.
  base::Millis m_At{};
  StepKind m_Kind = StepKind::Publish;
  /// Index of the entry or server.
  std::size_t m_Target = 0;
  std::uint64_t m_Value = 0;
  base::Millis m_Duration{};

  bool operator==(const Step &) const = default;
};

enum class RequestKind { Once, Stream, Plain, Versioned };

/// A request of a caller.
struct PlannedRequest {
  std::size_t m_Entry = 0;
  RequestKind m_Kind = RequestKind::Plain;
  /// Decides which of the published versions a versioned request is for.
  std::uint64_t m_VersionDraw = 0;
  bool m_IsCancelled = false;
  /// The parts of its prompt before the last one.
  std::string m_Parts;
  bool m_HasFatalPart = false;

  bool operator==(const PlannedRequest &) const = default;
};

struct SoakPlanSettings {
  std::uint64_t m_Seed = 1;
  base::Millis m_Length = base::seconds(12);
  Plant m_Plant = Plant::None;
  std::size_t m_Entries = 3;
  std::size_t m_Servers = 4;
};

/// All that a run of the soak does, drawn before it begins: the settings alone
/// determine it.
///
/// A planted mistake that faults could hide has a plan in which it shows.
class SoakPlan {
public:
  explicit SoakPlan(SoakPlanSettings Settings);

  /// Returns the steps in order of time.
  [[nodiscard]] const std::vector<Step> &steps() const { return m_Steps; }

  /// Returns request \p Number of the run.
  [[nodiscard]] PlannedRequest request(std::uint64_t Number) const;

  /// Returns a hash of the steps and the first requests.
  [[nodiscard]] std::string digest() const;

private:
  /// The servers and entries as the steps leave them.
  struct World;

  [[nodiscard]] base::Random generator(std::uint64_t Purpose,
                                       std::uint64_t Number = 0) const;
  void drawSteps();
  void drawFault(World &Now);
  void drawEntryFault(World &Now);
  void drawServerFault(World &Now);
  void drawLimits(World &Now);
  void drawNotices(World &Now);
  void drawStoreReturn(World &Now);
  void heal(World &Now);
  /// Adds the steps in which the planted mistake shows.
  /// \returns false if it shows with the faults of other runs.
  bool addPlantedSteps();
  void add(base::Millis At, StepKind Kind, std::size_t Target = 0,
           std::uint64_t Value = 0, base::Millis Duration = {});

  const SoakPlanSettings m_Settings;
  std::vector<Step> m_Steps;
};

} // namespace corneldeck::tests

#endif
