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

/// Settings of a Dispatcher, including those of its queue and replica choice.
struct DispatcherSettings {
  admission::AdmissionSettings m_Admission;
  ChooserSettings m_Chooser;
  /// Number of requests at the head of the queue that are considered for
  /// dispatch.
  std::size_t m_LookaheadCount = 8;
  /// A request whose best replica is full is sent to any replica with free
  /// capacity after this time, or after m_SpilloverDeadlineShare of the time
  /// left until its deadline if that is shorter.
  base::Millis m_SpilloverDelay{1'000};
  double m_SpilloverDeadlineShare = 0.15;
  /// Time for which looked-up cached prefix lengths of a queued prompt are
  /// reused.
  base::Millis m_CachedPrefixLifetime{100};
  /// Work of a prompt token, as a fraction of that of an answer token.
  double m_PromptTokenWork = 0.1;
};

/// A request to be dispatched by one entry.
struct DispatchRequest {
  std::string m_Id;
  std::string m_Customer;
  /// Priority class; 0 is the highest and is refused last.
  std::uint32_t m_Class = 0;
  base::Millis m_Deadline{};
  std::uint32_t m_PromptTokens = 0;
  /// Expected tokens of the answer; 0 uses the mean of earlier answers.
  std::uint32_t m_OutputTokens = 0;
  std::vector<std::uint64_t> m_PrefixBlocks = {};
  /// Replicas that must not be chosen, such as those where the request failed.
  std::set<std::string> m_Excluded = {};
};

/// A request to be sent now and the replica to send it to.
struct Dispatch {
  std::string m_Request;
  Choice m_Choice;
};

/// Queues one entry's requests for one service and assigns them to replicas.
///
/// Requests leave the queue in order, except that a request whose best replica
/// is full waits for it for up to m_SpilloverDelay while later requests are
/// sent: the prompt prefix cached there saves more time than the wait costs.
/// The class has no clock and no thread; the caller passes the time.
class Dispatcher {
public:
  /// \param Zone the entry's availability zone. \param Seed must differ
  /// between entries.
  Dispatcher(const DispatcherSettings &Settings, std::string Zone,
             std::uint64_t Seed);

  /// Queues a request or refuses it. The caller must call dispatchReady()
  /// afterwards.
  admission::EnqueueResult enqueue(base::Millis Now, DispatchRequest Request);

  /// Removes the requests to be sent now from the queue and records them as
  /// sent. Must be called after each enqueue(), report and ended attempt, and
  /// several times per second.
  std::vector<Dispatch> dispatchReady(base::Millis Now);

  /// Removes and refuses queued requests that can no longer meet their
  /// deadlines. Must be called several times per second.
  std::vector<admission::Refusal> expire(base::Millis Now);

  /// Removes a queued request.
  /// \returns false if it is not queued.
  bool cancel(base::Millis Now, const std::string &Request);

  /// \returns the replica chooser, which needs the reports and the progress of
  /// attempts. An attempt sent by dispatchReady() is identified by its
  /// request's ID.
  ReplicaChooser &chooser() { return m_Chooser; }
  [[nodiscard]] const ReplicaChooser &chooser() const { return m_Chooser; }

  [[nodiscard]] std::size_t queued() const { return m_Queued.size(); }

private:
  struct Queued {
    DispatchRequest m_Request;
    /// Time from which any replica with free capacity is accepted; set when the
    /// best one was full.
    std::optional<base::Millis> m_SpilloverAt;
    /// Cached prefix length of its prompt by replica, and the lookup time.
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
