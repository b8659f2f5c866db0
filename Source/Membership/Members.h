#ifndef CORNELDECK_MEMBERSHIP_MEMBERS_H
#define CORNELDECK_MEMBERSHIP_MEMBERS_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// When a node counts as silent and as lost.
struct MemberSettings {
  /// A node that was not heard for this long gets no new work.
  base::Millis m_SilenceTimeout = base::Millis(1500);
  /// A node that was not heard for this long is forgotten.
  base::Millis m_LostTimeout = base::seconds(30);
};

/// What is known of one node.
struct Member {
  std::string m_Node;
  /// Differs at each start of the process; later starts have higher ones.
  std::uint64_t m_Incarnation = 0;
  std::string m_Address;
  std::string m_Zone;
  /// The node itself said that it leaves.
  bool m_Leaving = false;
  /// The VM list said that its VM leaves.
  bool m_VmLeaving = false;
  base::Millis m_LastSeenAt{};
};

/// What a node says of itself.
struct MemberUpdate {
  std::string m_Node;
  std::uint64_t m_Incarnation = 0;
  std::string m_Address;
  std::string m_Zone;
  bool m_Leaving = false;
};

/// One VM in the platform's list.
struct VmRecord {
  std::string m_Address;
  bool m_Leaving = false;
};

/// A change that operators should see.
struct MemberEvent {
  enum class Type { Joined, Returned, Leaving, Silent, Lost, Replaced };
  Type m_Type = Type::Joined;
  std::string m_Node;
};

/// Which nodes are there, from what they say and from the VM list.
///
/// Soft state only: nothing that must be agreed rests on it. A node is there
/// because it was heard. The VM list lags, so it never makes a node alive; it
/// only takes new work away from one that leaves.
class Members {
public:
  explicit Members(MemberSettings Settings) : m_Settings(Settings) {}

  /// Takes what a node says. News of an earlier incarnation are dropped.
  /// \returns whether they counted.
  bool update(base::Millis Now, const MemberUpdate &Update);

  /// Takes the platform's list.
  void updateVmList(const std::vector<VmRecord> &Vms);

  /// Forgets lost nodes.
  /// \returns what changed since the last call.
  std::vector<MemberEvent> tick(base::Millis Now);

  /// \returns whether \p Node was heard lately and does not leave.
  [[nodiscard]] bool acceptsNewWork(base::Millis Now,
                                    const std::string &Node) const;

  /// \returns whether \p Node was heard lately.
  [[nodiscard]] bool alive(base::Millis Now, const std::string &Node) const;

  /// \returns all nodes by name, also silent and leaving ones.
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
  /// What the VM list last said, by address.
  std::map<std::string, bool> m_VmLeaving;
  std::vector<MemberEvent> m_Events;
};

} // namespace corneldeck::membership

#endif
