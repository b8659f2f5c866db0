#include "Base/Random.h"
#include "Feed/KeyedState.h"

#include <algorithm>
#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <vector>

namespace corneldeck::feed {

namespace {

/// A mistake that is planted to show that the schedules detect it.
enum class Plant {
  None,
  IgnoreEra,   ///< Positions consist of the offset alone.
  IgnoreOrder, ///< An older copy of a record replaces the newer one.
  DropMissing, ///< Keys that the copy lacks are deleted at once.
  NeverReload  ///< Keys that the copy lacks stay forever.
};

constexpr std::size_t Keys = 4;
constexpr std::size_t Nodes = 5;
constexpr int Steps = 300;
/// Writers write again within this number of steps after a return of the log.
constexpr int RewriteSteps = 10;
/// Readers keep what the copy lacks for this number of steps.
constexpr int KeepSteps = 20;
/// Minimum number of steps between two returns.
constexpr int MinEraSteps = 40;

/// Random schedules of writers, of a log that returns with older copies of its
/// records, and of nodes that read it, restart and copy each other's state.
class Schedule {
public:
  Schedule(std::uint64_t Seed, Plant Fault) : m_Rng(Seed), m_Fault(Fault) {
    for (Node &Each : m_Nodes)
      restart(Each);
    for (std::size_t Key = 0; Key < Keys; ++Key)
      write(Key, true);
  }

  /// Returns the number of violations: a node that goes back behind what it had
  /// of a writer, loses a key of a live writer, or does not converge.
  int run() {
    for (m_Step = 0; m_Step < Steps; ++m_Step) {
      changeLog();
      Node &Of = m_Nodes[m_Rng.below(Nodes)];
      switch (m_Rng.below(8)) {
      case 0:
        if (m_Rng.chance(0.1))
          restart(Of);
        break;
      case 1:
      case 2:
      case 3:
        read(Of);
        break;
      default:
        copyState(Of, m_Nodes[m_Rng.below(Nodes)]);
        break;
      }
      for (Node &Each : m_Nodes)
        check(Each);
    }
    converge();
    return m_Violations;
  }

private:
  struct Writer {
    unsigned m_Number = 0;
    bool m_IsLive = false;
    /// The number of its last deletion.
    unsigned m_Deleted = 0;
  };
  /// A copy of a node's state on its way to another one.
  struct Message {
    std::vector<KeyedRecord> m_Records;
    LogPosition m_Position;
    KeyedState::Coverage m_Covered;
  };
  struct Node {
    std::unique_ptr<KeyedState> m_State;
    std::optional<std::uint64_t> m_Era;
    std::size_t m_Next = 0;
    int m_EraStartedAt = 0;
    bool m_IsReloadDue = false;
    std::optional<Message> m_Late;
    /// The highest number that the node has had of each writer; 0 if none, or
    /// after a deletion.
    std::array<unsigned, Keys> m_Seen{};
  };

  static std::string name(std::size_t Key) { return "k" + std::to_string(Key); }

  void restart(Node &Of) {
    Of = {};
    KeyedState::IsOlder IsOlder;
    if (m_Fault != Plant::IgnoreOrder)
      IsOlder = [](const std::string &, const std::string &Value,
                   const std::string &Than) {
        return std::stoul(Value) < std::stoul(Than);
      };
    Of.m_State = std::make_unique<KeyedState>(
        [](const std::string &, const std::string &Before,
           const std::string &After) { return Before != After; },
        IsOlder);
  }

  void append(std::size_t Key) {
    KeyedRecord Record{m_Log.size(), name(Key), std::nullopt};
    if (m_Writers[Key].m_IsLive)
      Record.m_Value = std::to_string(m_Writers[Key].m_Number);
    m_Log.push_back(Record);
  }

  void write(std::size_t Key, bool IsLive) {
    Writer &Of = m_Writers[Key];
    ++Of.m_Number;
    if (!IsLive)
      Of.m_Deleted = Of.m_Number;
    Of.m_IsLive = IsLive;
    append(Key);
  }

  void changeLog() {
    if (m_Rng.chance(0.2))
      write(m_Rng.below(Keys), m_Rng.chance(0.8));
    if (m_Rng.chance(0.05))
      m_Copy = m_Log;
    const bool MayReturn = m_Copy && m_Step - m_ReturnedAt >= MinEraSteps;
    if (MayReturn && m_Rng.chance(0.1)) {
      m_Log = *std::exchange(m_Copy, std::nullopt);
      ++m_Era;
      m_ReturnedAt = m_Step;
      for (std::size_t Key = 0; Key < Keys; ++Key)
        m_WriteAgainAt[Key] =
            m_Step + 1 + static_cast<int>(m_Rng.below(RewriteSteps));
    }
    for (std::size_t Key = 0; Key < Keys; ++Key)
      if (m_WriteAgainAt[Key] == m_Step)
        append(Key);
  }

  void read(Node &Of) {
    const bool IsSnapshotDue =
        Of.m_Era != m_Era || Of.m_Next > m_Log.size() ||
        (Of.m_IsReloadDue && m_Step - Of.m_EraStartedAt > KeepSteps);
    if (IsSnapshotDue) {
      readSnapshot(Of);
      return;
    }
    for (; Of.m_Next < m_Log.size(); ++Of.m_Next)
      Of.m_State->apply(stamped(m_Log[Of.m_Next]));
  }

  void readSnapshot(Node &Of) {
    if (Of.m_Era != m_Era)
      Of.m_EraStartedAt = m_Step;
    Of.m_Era = m_Era;
    Of.m_Next = m_Log.size();
    std::map<std::string, KeyedRecord> Newest;
    for (const KeyedRecord &Each : m_Log) {
      if (Each.m_Value)
        Newest[Each.m_Key] = stamped(Each);
      else
        Newest.erase(Each.m_Key);
    }
    std::vector<KeyedRecord> Records;
    Records.reserve(Newest.size());
    for (const auto &[Key, Each] : Newest)
      Records.push_back(Each);
    const bool IsKept = Of.m_State->coverage().m_AllKeys.m_Era < era() &&
                        m_Step - Of.m_EraStartedAt <= KeepSteps &&
                        m_Fault != Plant::DropMissing;
    Of.m_State->applySnapshot(Records, {era(), m_Log.size()},
                              IsKept ? KeyedState::MissingKeys::Keep
                                     : KeyedState::MissingKeys::Delete);
    Of.m_IsReloadDue = IsKept && m_Fault != Plant::NeverReload;
  }

  [[nodiscard]] std::uint64_t era() const {
    return m_Fault == Plant::IgnoreEra ? 0 : m_Era;
  }

  [[nodiscard]] KeyedRecord stamped(KeyedRecord Record) const {
    Record.m_Era = era();
    return Record;
  }

  /// Copies the state of \p From if it is newer, now or later.
  void copyState(Node &To, const Node &From) {
    if (To.m_Late) {
      merge(To, *std::exchange(To.m_Late, std::nullopt));
      return;
    }
    if (!From.m_State->isLoaded() ||
        (To.m_State->isLoaded() &&
         From.m_State->contentPosition() <= To.m_State->contentPosition()))
      return;
    Message Sent = message(From);
    if (m_Rng.chance(0.3))
      To.m_Late = std::move(Sent);
    else
      merge(To, Sent);
  }

  static Message message(const Node &From) {
    return {From.m_State->records(), From.m_State->contentPosition(),
            From.m_State->coverage()};
  }

  static void merge(Node &To, const Message &Sent) {
    To.m_State->mergeRecords(Sent.m_Records, Sent.m_Position, Sent.m_Covered);
  }

  void check(Node &Of) {
    const auto Values = Of.m_State->values();
    for (std::size_t Key = 0; Key < Keys; ++Key) {
      const auto Found = Values.find(name(Key));
      unsigned &Seen = Of.m_Seen[Key];
      if (Found != Values.end()) {
        const auto Number = static_cast<unsigned>(std::stoul(Found->second));
        m_Violations += Number < Seen ? 1 : 0;
        Seen = Number;
      } else if (Seen > m_Writers[Key].m_Deleted) {
        ++m_Violations;
        Seen = 0;
      }
    }
  }

  /// Lets all writers write again, two nodes and those that have begun an era
  /// read, and all copy each other.
  void converge() {
    m_Step += KeepSteps;
    for (std::size_t Key = 0; Key < Keys; ++Key)
      append(Key);
    for (int Round = 0; Round < 2; ++Round) {
      for (Node &Each : m_Nodes)
        if (&Each < &m_Nodes[2] || Each.m_IsReloadDue)
          read(Each);
      m_Step += KeepSteps + 1;
    }
    for (int Round = 0; Round < 3; ++Round)
      for (Node &To : m_Nodes) {
        To.m_Late.reset();
        for (const Node &From : m_Nodes)
          if (From.m_State->contentPosition() > To.m_State->contentPosition())
            merge(To, message(From));
      }
    for (const Node &Of : m_Nodes) {
      const auto Values = Of.m_State->values();
      for (std::size_t Key = 0; Key < Keys; ++Key) {
        const auto Found = Values.find(name(Key));
        const std::string Has = Found == Values.end() ? "" : Found->second;
        const Writer &Wrote = m_Writers[Key];
        m_Violations +=
            Has != (Wrote.m_IsLive ? std::to_string(Wrote.m_Number) : "");
      }
    }
  }

  base::Random m_Rng;
  const Plant m_Fault;
  std::vector<KeyedRecord> m_Log;
  std::optional<std::vector<KeyedRecord>> m_Copy;
  std::uint64_t m_Era = 1;
  int m_Step = 0;
  int m_ReturnedAt = 0;
  std::array<int, Keys> m_WriteAgainAt{};
  std::array<Writer, Keys> m_Writers;
  std::array<Node, Nodes> m_Nodes;
  int m_Violations = 0;
};

#ifdef CORNELDECK_FEW_SCHEDULES
constexpr std::uint64_t Schedules = 1'000;
#else
constexpr std::uint64_t Schedules = 20'000;
#endif

bool detects(Plant Fault) {
  constexpr std::uint64_t MaxSchedules = 100;
  for (std::uint64_t Seed = 1; Seed <= MaxSchedules; ++Seed)
    if (Schedule(Seed, Fault).run() > 0)
      return true;
  return false;
}

} // namespace

// Failure: after a return of the log with an older copy, a node went back
// behind a record that it had, lost a key of a live writer, or kept one for
// ever.
TEST(LogEraFuzz, NodesKeepTheNewestRecords) {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed)
    ASSERT_EQ(Schedule(Seed, Plant::None).run(), 0) << "seed " << Seed;
}

TEST(LogEraFuzz, DetectsPlantedMistakes) {
  EXPECT_TRUE(detects(Plant::IgnoreEra));
  EXPECT_TRUE(detects(Plant::IgnoreOrder));
  EXPECT_TRUE(detects(Plant::DropMissing));
  EXPECT_TRUE(detects(Plant::NeverReload));
}

} // namespace corneldeck::feed
