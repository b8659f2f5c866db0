#ifndef CORNELDECK_MEMBERSHIP_MEMBERS_H
#define CORNELDECK_MEMBERSHIP_MEMBERS_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// Settings of Members.
struct MemberSettings {
  /// A node that sent no update for this long is silent and gets no new work.
  base::Millis m_SilenceTimeout = base::Millis(1500);
  /// A node that sent no update for this long is lost and removed.
  base::Millis m_LostTimeout = base::seconds(30);
};

/// The known state of one node.
struct Member {
  std::string m_Node;
  /// Increases with each start of the process.
  std::uint64_t m_Incarnation = 0;
  std::string m_Address;
  std::string m_Zone;
  /// Set if the node announced that it is leaving.
  bool m_Leaving = false;
  /// Cleared while the node does not accept work, as during its start.
  bool m_Ready = true;
  /// Set if the VM list marks the node's VM as leaving.
  bool m_VmLeaving = false;
  base::Millis m_LastSeenAt{};
  /// See MemberUpdate.
  base::Millis m_SilenceTimeout{};
};

/// A node's report of its own state.
struct MemberUpdate {
  std::string m_Node;
  std::uint64_t m_Incarnation = 0;
  std::string m_Address;
  std::string m_Zone;
  bool m_Leaving = false;
  bool m_Ready = true;
  /// Timeout instead of that in the settings, for reports that arrive less
  /// often; zero if none.
  base::Millis m_SilenceTimeout{};
};

/// One VM in the platform's list.
struct VmRecord {
  std::string m_Address;
  bool m_Leaving = false;
};

/// A membership change that is reported to operators.
struct MemberEvent {
  enum class Type { Joined, Returned, Leaving, Silent, Lost, Replaced };
  Type m_Type = Type::Joined;
  std::string m_Node;
};

/// The set of known nodes, from their own updates and from the VM list.
///
/// This is soft state: nothing that requires agreement between nodes depends on
/// it. A node is a member because it sent an update. The VM list lags, so it
/// never adds a node; it only stops new work for a node that is leaving.
class Members {
public:
  explicit Members(MemberSettings Settings) : m_Settings(Settings) {}

  /// Applies a node's update. Ignores an update of an earlier incarnation while
  /// the newer one is alive.
  /// \returns whether the update was applied.
  bool update(base::Millis Now, const MemberUpdate &Update);

  /// Applies the platform's VM list.
  void updateVmList(const std::vector<VmRecord> &Vms);

  /// Marks a node as silent before its timeout.
  void setSilent(base::Millis Now, const std::string &Node);

  /// Removes lost nodes.
  /// \returns the changes since the last call.
  std::vector<MemberEvent> tick(base::Millis Now);

  /// \returns whether \p Node is alive, ready and not leaving.
  [[nodiscard]] bool acceptsNewWork(base::Millis Now,
                                    const std::string &Node) const;

  /// \returns whether \p Node sent an update within the silence timeout.
  [[nodiscard]] bool alive(base::Millis Now, const std::string &Node) const;

  /// \returns all nodes in the order of their names, including silent and
  /// leaving ones.
  [[nodiscard]] std::vector<Member> members() const;

private:
  struct TrackedMember {
    Member m_Member;
    bool m_WasSilent = false;
  };

  void removeOthersAt(const MemberUpdate &Update);
  void recordLeaving(const Member &Known, bool Before);
  [[nodiscard]] bool isLive(base::Millis Now, const Member &Known) const;

  const MemberSettings m_Settings;
  std::map<std::string, TrackedMember> m_Nodes;
  /// Whether each VM in the last VM list is leaving, by IP address.
  std::map<std::string, bool> m_VmLeaving;
  std::vector<MemberEvent> m_Events;
};

} // namespace corneldeck::membership

#endif
