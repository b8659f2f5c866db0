#ifndef CORNELDECK_FEED_KEYEDSTATE_H
#define CORNELDECK_FEED_KEYEDSTATE_H

#include "Feed/KeyedLogClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::feed {

/// The latest record of each key of one topic, merged from snapshots, reads and
/// other nodes. For each key the record with the highest offset is kept, so
/// late input never replaces newer records.
class KeyedState {
public:
  /// Returns whether the change of a key's value is significant; records that
  /// only renew a key are not.
  using IsSignificant =
      std::function<bool(const std::string &Key, const std::string &Before,
                         const std::string &After)>;

  explicit KeyedState(IsSignificant Significant)
      : m_IsSignificant(std::move(Significant)) {}

  /// Applies one record.
  /// \returns whether the change is significant.
  bool apply(const KeyedRecord &Record);

  /// Applies a snapshot of all keys that was started when the topic ended at
  /// \p EndOffset. Keys that are missing in the snapshot and whose record is
  /// older than \p EndOffset are deleted.
  /// \returns whether any change is significant.
  bool applySnapshot(const std::vector<KeyedRecord> &Records,
                     std::uint64_t EndOffset);

  /// Merges the records and the content offset of another node, as returned by
  /// its records() and contentOffset().
  /// \returns whether any change is significant.
  bool mergeRecords(const std::vector<KeyedRecord> &Records,
                    std::uint64_t ContentOffset);

  /// Returns the latest record of each key, including deleted keys.
  [[nodiscard]] std::vector<KeyedRecord> records() const;

  /// Returns the values by key, without deleted keys.
  [[nodiscard]] std::map<std::string, std::string> values() const;

  /// Returns the highest offset of a significant change.
  [[nodiscard]] std::uint64_t contentOffset() const { return m_ContentOffset; }
  /// Returns whether any record or snapshot was applied.
  [[nodiscard]] bool isLoaded() const { return m_Loaded; }

private:
  const IsSignificant m_IsSignificant;
  std::map<std::string, KeyedRecord> m_Records;
  std::uint64_t m_ContentOffset = 0;
  bool m_Loaded = false;
};

} // namespace corneldeck::feed

#endif
