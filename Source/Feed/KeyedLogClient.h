#ifndef CORNELDECK_FEED_KEYEDLOGCLIENT_H
#define CORNELDECK_FEED_KEYEDLOGCLIENT_H

#include "Base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::feed {

/// A record of a keyed topic. A record without a value deletes its key.
struct KeyedRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Key;
  std::optional<std::string> m_Value;

  bool operator==(const KeyedRecord &) const = default;
};

/// A page of the latest records of all keys of a topic.
struct SnapshotPage {
  std::vector<KeyedRecord> m_Records;
  bool m_HasMore = false;
  /// End offset of the topic when the page was read.
  std::uint64_t m_EndOffset = 0;
};

/// Consecutive records of a topic.
struct RecordBatch {
  std::vector<KeyedRecord> m_Records;
  std::uint64_t m_EndOffset = 0;
  /// The offset to read next.
  std::uint64_t m_NextOffset = 0;
};

/// Client of the platform's log. Each function calls its callback exactly once,
/// on the thread of the I/O context.
struct KeyedLogClient {
  /// Reads a page with the latest record of each key that sorts after \p After;
  /// empty for the first page.
  std::function<void(const std::string &Topic, const std::string &After,
                     std::function<void(base::Result<SnapshotPage>)>)>
      m_ReadSnapshot;
  /// Reads records of a keyed topic from the offset \p From on. If there are
  /// none, waits up to \p Wait. The result is LogGap if records have expired.
  std::function<void(const std::string &Topic, std::uint64_t From,
                     base::Millis Wait,
                     std::function<void(base::Result<RecordBatch>)>)>
      m_Read;
  /// Appends one keyed record; if \p At is given, only if the topic ends at
  /// that offset. The result is the offset of the record, RejectedVersion if
  /// the topic does not end at \p At, or PublishUnknown if the record may have
  /// been appended.
  std::function<void(const std::string &Topic, const KeyedRecord &Record,
                     std::optional<std::uint64_t> At,
                     std::function<void(base::Result<std::uint64_t>)>)>
      m_Append;
};

} // namespace corneldeck::feed

#endif
