#ifndef CORNELDECK_ROUTING_DISPATCHER_H
#define CORNELDECK_ROUTING_DISPATCHER_H

#include "Admission/AdmissionControl.h"
#include "Routing/ReplicaChooser.h"

#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::routing {

/// How an entry's queue and its replica choice work together.
struct DispatcherSettings {
  admission::AdmissionSettings m_Admission;
  ChooserSettings m_Chooser;
  /// Queued requests that are looked at for a replica with room.
  std::size_t m_LookaheadCount = 8;
  /// A request whose best replica is full takes any with room after this, and
  /// after SpillShare of its time.
  base::Millis m_SpilloverDelay{1'000};
  double m_SpilloverDeadlineShare = 0.15;
  /// What is known of the cached parts of a queued prompt is used this long.
  base::Millis m_CachedPrefixLifetime{100};
  /// Part of an answer token's work that computing a prompt token is.
  double m_PromptTokenWork = 0.1;
};

/// A request to be dispatched by one entry.
struct DispatchRequest {
  std::string m_Id;
  std::string m_Customer;
  /// 0 is refused last.
  std::uint32_t m_Class = 0;
  base::Millis m_Deadline{};
  std::uint32_t m_PromptTokens = 0;
  /// Expected tokens of the answer; 0 takes the mean of earlier answers.
  std::uint32_t m_OutputTokens = 0;
  std::vector<std::uint64_t> m_PrefixBlocks = {};
  /// Replicas that must not be chosen, such as those that failed it.
  std::set<std::string> m_Excluded = {};
};

/// A request that is to be sent now.
struct Dispatch {
  std::string m_Request;
  Choice m_Choice;
};

/// One entry's queue and replica choice for one service.
///
/// Requests leave the queue in its order, except that one whose best replica
/// is full lets later ones pass for m_SpilloverDelay: the prompt prefix it
/// finds there is worth more than its turn. Pure: it owns no clock and no
/// thread.
class Dispatcher {
public:
  /// \param Zone the entry's availability zone. \param Seed must differ
  /// between entries.
  Dispatcher(const DispatcherSettings &Settings, std::string Zone,
             std::uint64_t Seed);

  /// Queues a request or refuses it. dispatchReady() must follow.
  admission::EnqueueResult enqueue(base::Millis Now, DispatchRequest Request);

  /// \returns the requests to be sent now; each counts as sent. To be called
  /// after each offer, report and ended attempt, and several times a second.
  std::vector<Dispatch> dispatchReady(base::Millis Now);

  /// Gives up queued requests that can't be answered in time any more. To be
  /// called several times a second.
  std::vector<admission::Refusal> expire(base::Millis Now);

  /// Forgets a queued request. \returns false if it isn't queued.
  bool cancel(base::Millis Now, const std::string &Request);

  /// \returns the replica choice, for reports and the progress of attempts;
  /// an attempt goes by its request's name.
  ReplicaChooser &chooser() { return m_Chooser; }
  [[nodiscard]] const ReplicaChooser &chooser() const { return m_Chooser; }

  [[nodiscard]] std::size_t queued() const { return m_Queued.size(); }

private:
  struct Queued {
    DispatchRequest m_Request;
    /// When it takes any replica with room; set once its best one was full.
    std::optional<base::Millis> m_SpilloverAt;
    /// The replicas' cached parts of its prompt, and when they were looked up.
    std::map<std::string, std::size_t> m_PrefixLengths;
    std::optional<base::Millis> m_PrefixLengthsAt;
  };

  static ChoiceQuery makeQuery(const DispatchRequest &Request);
  ChoiceQuery makeQuery(base::Millis Now, Queued &Waiting) const;
  [[nodiscard]] base::Millis
  spilloverTime(base::Millis Now, const DispatchRequest &Request) const;
  bool trySend(base::Millis Now, const std::string &Request,
               std::vector<Dispatch> &Sent);

  DispatcherSettings m_Settings;
  admission::AdmissionControl m_Admission;
  ReplicaChooser m_Chooser;
  std::unordered_map<std::string, Queued> m_Queued;
};

} // namespace corneldeck::routing

#endif
