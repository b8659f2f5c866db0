#ifndef CORNELDECK_FAKES_LOGERAMODEL_H
#define CORNELDECK_FAKES_LOGERAMODEL_H

#include "Base/Random.h"
#include "Feed/KeyedState.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::fakes {

/// A mistake that is planted to show that the checks detect it.
enum class LogEraPlant {
  None,
  IgnoreEra,   ///< Positions consist of the offset alone.
  IgnoreOrder, ///< An older copy of a record replaces the newer one.
  DropMissing, ///< Keys that the copy lacks are deleted at once.
  NeverReload  ///< Keys that the copy lacks stay forever.
};

/// Writers, a log that returns with older copies of its records, and nodes that
/// read it, restart and copy each other's state, in steps.
///
/// After each step, no node may have gone back behind what it had of a writer,
/// or have lost a key of a live writer.
class LogEraModel {
public:
  static constexpr std::size_t Keys = 4;
  static constexpr std::size_t Nodes = 5;
  /// Readers keep what the copy lacks for this number of steps.
  static constexpr int KeepSteps = 20;

  LogEraModel(std::uint64_t Seed, LogEraPlant Plant);

  /// Ends a step: writers write again what is due, and all nodes are checked.
  void endStep();
  [[nodiscard]] int step() const { return m_Step; }

  /// Lets the writer of a key write it or delete it.
  void write(std::size_t Key, bool IsLive);
  /// Lets the log keep a copy of its records.
  void saveCopy() { m_Copy = m_Log; }
  /// Lets the log return with its copy in a new era, in which all writers write
  /// again within some steps. Ignored without a copy, or too soon after the
  /// last return.
  void returnLog();
  void restart(std::size_t Node);
  /// Lets a node read the log.
  void read(std::size_t Node);
  /// Copies the state of a node if it is newer.
  /// \param IsLate whether it arrives with the next call for \p To.
  void copyState(std::size_t To, std::size_t From, bool IsLate);

  /// Lets all writers write again, two nodes and those that have begun an era
  /// read, and all copy each other, and checks that all have the newest
  /// records.
  void converge();

  /// Returns how often a check failed.
  [[nodiscard]] int violations() const { return m_Violations; }

private:
  struct Writer {
    unsigned m_Number = 0;
    bool m_IsLive = false;
    /// The number of its last deletion.
    unsigned m_Deleted = 0;
  };
  /// A copy of a node's state on its way to another one.
  struct Message {
    std::vector<feed::KeyedRecord> m_Records;
    feed::LogPosition m_Position;
    feed::KeyedState::Coverage m_Covered;
  };
  struct NodeState {
    std::unique_ptr<feed::KeyedState> m_State;
    std::optional<std::uint64_t> m_Era;
    std::size_t m_Next = 0;
    int m_EraStartedAt = 0;
    bool m_IsReloadDue = false;
    std::optional<Message> m_Late;
    /// The highest number that the node has had of each writer; 0 if none, or
    /// after a deletion.
    std::array<unsigned, Keys> m_Seen{};
  };

  void append(std::size_t Key);
  void readSnapshot(NodeState &Of);
  [[nodiscard]] std::uint64_t era() const;
  [[nodiscard]] feed::KeyedRecord stamped(feed::KeyedRecord Record) const;
  static Message message(const NodeState &From);
  static void merge(NodeState &To, const Message &Sent);
  void check(NodeState &Of);

  base::Random m_Rng;
  const LogEraPlant m_Plant;
  std::vector<feed::KeyedRecord> m_Log;
  std::optional<std::vector<feed::KeyedRecord>> m_Copy;
  std::uint64_t m_Era = 1;
  int m_Step = 0;
  int m_ReturnedAt = 0;
  std::array<int, Keys> m_WriteAgainAt{};
  std::array<Writer, Keys> m_Writers;
  std::array<NodeState, Nodes> m_Nodes;
  int m_Violations = 0;
};

} // namespace corneldeck::fakes

#endif
