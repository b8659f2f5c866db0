#ifndef CORNELDECK_FEED_KEYEDSTATE_H
#define CORNELDECK_FEED_KEYEDSTATE_H

#include "Feed/KeyedLogClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::feed {

/// The newest record of each key of one topic, from pages, reads and other
/// nodes. For each key the highest offset wins, so nothing accepted is ever
/// replaced by something older, whatever comes late.
class KeyedState {
public:
  /// \returns whether the change of a key's value matters; records that only
  /// renew a key do not.
  using IsSignificant =
      std::function<bool(const std::string &Key, const std::string &Before,
                         const std::string &After)>;

  explicit KeyedState(IsSignificant Decide)
      : m_IsSignificant(std::move(Decide)) {}

  /// Takes one record.
  /// \returns whether it changed something that matters.
  bool apply(const KeyedRecord &Record);

  /// Takes a listing of all keys that was begun when the topic ended at
  /// \p EndOffset: keys that it does not name and that are older are gone.
  /// \returns whether anything that matters changed.
  bool applySnapshot(const std::vector<KeyedRecord> &Records,
                     std::uint64_t EndOffset);

  /// Takes the whole state of another node, as state() gives it.
  bool mergeRecords(const std::vector<KeyedRecord> &Records,
                    std::uint64_t ContentOffset);

  /// \returns the records in force, and those of removed keys.
  [[nodiscard]] std::vector<KeyedRecord> records() const;

  /// \returns the values by key.
  [[nodiscard]] std::map<std::string, std::string> values() const;

  /// \returns the highest offset of a record that mattered.
  [[nodiscard]] std::uint64_t contentOffset() const { return m_ContentOffset; }
  [[nodiscard]] bool isLoaded() const { return m_Loaded; }

private:
  const IsSignificant m_IsSignificant;
  std::map<std::string, KeyedRecord> m_Records;
  std::uint64_t m_ContentOffset = 0;
  bool m_Loaded = false;
};

} // namespace corneldeck::feed

#endif
