#ifndef CORNELDECK_FEED_KEYEDSTATE_H
#define CORNELDECK_FEED_KEYEDSTATE_H

#include "Feed/KeyedLogClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::feed {

/// The latest record of each key of one topic, merged from snapshots, reads and
/// other nodes. For each key the record with the highest position is kept, so
/// late input never replaces newer records.
///
/// The log may return with an older copy of its records. A record that its
/// writer wrote before one of an earlier era does not replace that one, which
/// is kept at the position of the older one until the writer writes it again.
/// The first record of a key in an era counts as a change of the content, so
/// that the positions of an era cover what was kept from earlier ones.
class KeyedState {
public:
  /// Returns whether the change of a key's value is significant; records that
  /// only renew a key are not.
  using IsSignificant =
      std::function<bool(const std::string &Key, const std::string &Before,
                         const std::string &After)>;

  /// Returns whether the writer of a key wrote \p Value before \p Than.
  using IsOlder =
      std::function<bool(const std::string &Key, const std::string &Value,
                         const std::string &Than)>;
  /// What a snapshot of a new era means for keys that it does not contain and
  /// that were last seen in an earlier era.
  enum class MissingKeys {
    Delete, ///< They were deleted.
    Keep    ///< They stay; their writers may still write them again.
  };

  /// The positions up to which snapshots have shown the keys. A key that a
  /// state does not contain was deleted before them, or never existed.
  struct Coverage {
    LogPosition m_AllKeys;
    /// For keys with a record in the era of this position.
    LogPosition m_EraKeys;
  };

  /// \param Older may be empty; then a record of a later era always holds.
  explicit KeyedState(IsSignificant Significant, IsOlder Older = {})
      : m_IsSignificant(std::move(Significant)), m_IsOlder(std::move(Older)) {}

  /// Applies one record.
  /// \returns whether the change is significant.
  bool apply(const KeyedRecord &Record);

  /// Applies a snapshot of all keys that was started when the topic ended at
  /// \p End. Keys that are missing in the snapshot and whose record is older
  /// than \p End are deleted.
  ///
  /// \param Missing whether that holds for keys of earlier eras. If it does,
  /// the state is complete: nodes that merge it delete such keys too.
  ///
  /// \returns whether any change is significant.
  bool applySnapshot(const std::vector<KeyedRecord> &Records, LogPosition End,
                     MissingKeys Missing = MissingKeys::Delete);

  /// Merges the state of another node, as returned by its records(),
  /// contentPosition() and coverage().
  /// \returns whether any change is significant.
  bool mergeRecords(const std::vector<KeyedRecord> &Records,
                    LogPosition ContentPosition, const Coverage &Covered = {});

  /// Returns the record of the latest significant change of each key, including
  /// deleted keys. Nodes that have applied the same changes return the same
  /// records, whatever renewals each of them has seen.
  [[nodiscard]] std::vector<KeyedRecord> records() const;

  /// Returns the values by key, without deleted keys.
  [[nodiscard]] std::map<std::string, std::string> values() const;

  /// Returns the position after the last significant change; offset 0 of era 0
  /// if there is none.
  [[nodiscard]] LogPosition contentPosition() const {
    return m_ContentPosition;
  }
  /// Returns which keys that are not in records() are known not to exist.
  [[nodiscard]] const Coverage &coverage() const { return m_Coverage; }
  /// Returns the number of keys that were last seen before the era \p Era.
  [[nodiscard]] std::size_t keysBefore(std::uint64_t Era) const;
  /// Returns whether a record, a snapshot or the state of another node, which
  /// may be empty, was applied.
  [[nodiscard]] bool isLoaded() const { return m_Loaded; }

private:
  /// The state of one key.
  struct KeyState {
    KeyedRecord m_Significant;
    /// Position of the latest record, significant or not.
    LogPosition m_Latest = {};
    /// The last value, if m_Significant does not contain it: that of a renewal,
    /// or the one before a deletion.
    std::optional<std::string> m_LastValue = {};

    /// Returns the last value; null if none is known.
    [[nodiscard]] const std::string *lastValue() const;
    void setDeleted(LogPosition Position);
  };

  /// Returns whether \p Record is from an older copy of the log than what is
  /// known of its key.
  [[nodiscard]] bool isOlderCopy(const KeyState &Current,
                                 const KeyedRecord &Record) const;
  /// Records a change of the content at \p Position.
  void contentChanged(LogPosition Position);
  /// If records were kept, makes the content newer than that of nodes which
  /// have all older ones up to \p End.
  void recordKept(LogPosition End);
  /// Returns whether a key that is not in the records had no record at
  /// \p Position, or was deleted later.
  [[nodiscard]] bool isCovered(LogPosition Position) const;
  /// Deletes the keys that are not in \p Listed and covered by \p Covered.
  /// \returns whether there were any.
  bool addCoverage(const Coverage &Covered,
                   const std::set<std::string> &Listed);
  /// Deletes the keys that are not in \p Listed and whose latest record is from
  /// \p Begin to before \p End.
  /// \returns whether there were any.
  bool deleteMissingKeys(const std::set<std::string> &Listed, LogPosition Begin,
                         LogPosition End);

  const IsSignificant m_IsSignificant;
  const IsOlder m_IsOlder;
  std::map<std::string, KeyState> m_Records;
  LogPosition m_ContentPosition;
  Coverage m_Coverage;
  bool m_Loaded = false;
  /// Whether a record was kept since the last call of recordKept().
  bool m_HasKept = false;
};

} // namespace corneldeck::feed

#endif
