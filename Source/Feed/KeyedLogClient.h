#ifndef CORNELDECK_FEED_KEYEDLOGCLIENT_H
#define CORNELDECK_FEED_KEYEDLOGCLIENT_H

#include "Base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::feed {

/// One record of a keyed topic. A record without a value takes its key out.
struct KeyedRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Key;
  std::optional<std::string> m_Value;

  bool operator==(const KeyedRecord &) const = default;
};

/// The newest records of a topic's keys, a page of them.
struct SnapshotPage {
  std::vector<KeyedRecord> m_Records;
  bool m_HasMore = false;
  /// Where the topic ended when the page was made.
  std::uint64_t m_EndOffset = 0;
};

/// Records read in order.
struct RecordBatch {
  std::vector<KeyedRecord> m_Records;
  std::uint64_t m_EndOffset = 0;
  /// The offset to read next.
  std::uint64_t m_NextOffset = 0;
};

/// The platform's log, as this product uses it. Each hook calls back once, on
/// the thread of the caller's loop.
struct KeyedLogClient {
  /// Reads the newest record of each key after \p After, empty for the first.
  std::function<void(const std::string &Topic, const std::string &After,
                     std::function<void(base::Result<SnapshotPage>)>)>
      m_ReadSnapshot;
  /// Reads records of a keyed topic from \p From on; waits up to \p Wait for
  /// the first. LogGap if they have expired.
  std::function<void(const std::string &Topic, std::uint64_t From,
                     base::Millis Wait,
                     std::function<void(base::Result<RecordBatch>)>)>
      m_Read;
  /// Appends one keyed record, if \p At is given only if the topic ends there;
  /// the value is its offset. RejectedVersion if it ends elsewhere,
  /// PublishUnknown if it may have been appended.
  std::function<void(const std::string &Topic, const KeyedRecord &Record,
                     std::optional<std::uint64_t> At,
                     std::function<void(base::Result<std::uint64_t>)>)>
      m_Append;
};

} // namespace corneldeck::feed

#endif
