#ifndef CORNELDECK_BENCH_CONTROLCLUSTER_H
#define CORNELDECK_BENCH_CONTROLCLUSTER_H

#include "Bench/AcceptedChanges.h"
#include "Fakes/FakeLog.h"
#include "Fakes/FakeNetwork.h"
#include "Node/ControlCore.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How a cluster on virtual time is set.
struct ClusterSettings {
  std::size_t m_Entries = 3;
  std::size_t m_Agents = 1;
  base::Millis m_Tick{50};
  std::uint64_t m_Seed = 1;
  base::Millis m_SnapshotInterval = base::minutes(2);
  catalogue::FollowerDefects m_Plants;
  bool m_PlantBlindRepeat = false;
  bool m_PlantNoBarrier = false;
};

/// The control state of several processes over the fake log and network.
///
/// After each new picture of the catalogue it is compared with the list of
/// accepted changes; what does not fit is kept in violations().
class ControlCluster {
public:
  explicit ControlCluster(ClusterSettings Settings);
  ~ControlCluster();

  /// Runs the cluster for a while.
  void run(base::Millis Span);

  /// Publishes a change of \p Entry at \p Node on top of the version that the
  /// node sees.
  /// \returns the change's identifier.
  std::string publish(const std::string &Node, const std::string &Entry,
                      const std::string &Owner = "owner",
                      bool Deletion = false);
  /// Publishes two entries as one batch.
  std::string publishBatch(const std::string &Node, const std::string &First,
                           const std::string &Second);
  /// Asks again for a change that was asked before, maybe at another node.
  void publishAgain(const std::string &Node, const std::string &ChangeId);

  /// The process dies; its clients see silence.
  void kill(const std::string &Node);
  /// A new process starts under the same name.
  void start(const std::string &Node);
  void restart(const std::string &Node);
  /// The process stands still; messages wait.
  void pause(const std::string &Node);
  void resume(const std::string &Node);
  /// The node's clock runs at \p Rate from now on.
  void setClockRate(const std::string &Node, double Rate);
  /// Cuts the node off from the log and all other nodes, or heals it.
  void isolate(const std::string &Node, bool Cut);
  void cutFromPeers(const std::string &Node, bool Cut);

  [[nodiscard]] fakes::FakeLog &log() { return m_Log; }
  [[nodiscard]] fakes::FakeNetwork &network() { return m_Network; }
  [[nodiscard]] fakes::VirtualTime &time() { return m_Time; }
  [[nodiscard]] const std::vector<std::string> &nodes() const {
    return m_Names;
  }
  [[nodiscard]] const std::vector<std::string> &entries() const {
    return m_EntryNames;
  }
  /// \returns the node's control state, or null while it is dead.
  [[nodiscard]] node::ControlCore *core(const std::string &Node);
  /// \returns the number of the running process of \p Node; 0 if it is dead.
  [[nodiscard]] std::uint64_t incarnation(const std::string &Node) const;
  [[nodiscard]] base::Millis localTime(const std::string &Node);
  [[nodiscard]] bool isPaused(const std::string &Node) const;

  /// Runs \p Todo on the node now, or when it resumes; not at all if the
  /// process is another one by then.
  void deliver(const std::string &Node, const std::function<void()> &Todo);

  /// \returns when the newest change came into force at each node, by node,
  /// for the change at \p Offset.
  [[nodiscard]] std::optional<base::Millis>
  inForceSince(const std::string &Node, std::uint64_t Offset) const;

  /// \returns the last answer to each change that was asked.
  [[nodiscard]] const std::map<std::string, catalogue::PublishResponse> &
  answers() const {
    return m_Answers;
  }

  /// Checks what must hold in the end: all live nodes ready and alike, each
  /// answer true, no change appended twice without being asked twice.
  void checkEnd();

  /// \returns whether records expired from the log that no live process has
  /// read and no snapshot covers: nobody has the catalogue any more, and the
  /// nodes must say so and refuse.
  [[nodiscard]] bool lostWithLog() const { return m_LostWithLog; }

  /// \returns what was broken, in words; empty if nothing was.
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }
  /// \returns how often a node took an older catalogue than it had in force.
  [[nodiscard]] std::size_t reverts() const { return m_Reverts; }

private:
  struct Process;

  void hookUp(Process &Target, node::ControlHooks &Hooks);
  void scheduleTick(const std::string &Node, std::uint64_t Incarnation);
  void viewChanged(const std::string &Node, const catalogue::ViewPtr &View);
  wire::CatalogueChange changeOf(const std::string &Node,
                                 const std::string &Entry,
                                 const std::string &Owner, bool Deletion);
  std::string publishAll(const std::string &Node,
                         std::vector<wire::CatalogueChange> Changes);
  void ask(const std::string &Node, const catalogue::PublishRequest &Request);
  void violate(const std::string &What);
  void checkAnswers();
  void checkNodes();
  [[nodiscard]] bool isStateLost() const;
  [[nodiscard]] base::Millis localTimeOf(const Process &Target) const;
  Process &process(const std::string &Node);

  const ClusterSettings m_Settings;
  fakes::VirtualTime m_Time;
  fakes::FakeNetwork m_Network;
  fakes::FakeLog m_Log;
  AcceptedChanges m_Oracle;
  std::vector<std::string> m_Names;
  std::vector<std::string> m_EntryNames;
  std::map<std::string, std::unique_ptr<Process>> m_Processes;
  std::map<std::string, catalogue::PublishRequest> m_Requests;
  std::map<std::string, int> m_TimesAsked;
  std::map<std::string, catalogue::PublishResponse> m_Answers;
  std::uint64_t m_NextChange = 1;
  std::vector<std::string> m_Violations;
  std::size_t m_Reverts = 0;
  bool m_LostWithLog = false;
};

} // namespace corneldeck::bench

#endif
