#ifndef CORNELDECK_FEED_KEYEDLOGCLIENT_H
#define CORNELDECK_FEED_KEYEDLOGCLIENT_H

#include "Base/Error.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace corneldeck::feed {

/// A position in a topic. A log that returns with an older copy of its records
/// begins a new era, in which it assigns offsets again; any position of a later
/// era follows all positions of earlier ones.
struct LogPosition {
  std::uint64_t m_Era = 0;
  std::uint64_t m_Offset = 0;
  /// Whether a newer record of an earlier era is kept instead of the one at
  /// this offset, which it follows.
  bool m_IsKept = false;

  bool operator==(const LogPosition &) const = default;
  std::strong_ordering operator<=>(const LogPosition &Other) const {
    return std::tie(m_Era, m_Offset, m_IsKept) <=>
           std::tie(Other.m_Era, Other.m_Offset, Other.m_IsKept);
  }
};

/// A record of a keyed topic. A record without a value deletes its key.
struct KeyedRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Key;
  std::optional<std::string> m_Value;
  /// Era of the log in which the record was read.
  std::uint64_t m_Era = 0;
  /// See LogPosition.
  bool m_IsKept = false;

  [[nodiscard]] LogPosition position() const {
    return {m_Era, m_Offset, m_IsKept};
  }
  void setPosition(const LogPosition &Position) {
    m_Era = Position.m_Era;
    m_Offset = Position.m_Offset;
    m_IsKept = Position.m_IsKept;
  }
  bool operator==(const KeyedRecord &) const = default;
};

/// Records of a response that could not be decoded. The others are valid.
struct MalformedRecords {
  std::size_t m_Count = 0;
  /// Description of the first one.
  std::string m_FirstError;

  /// Counts a record; keeps the first error.
  void add(const std::string &Error) {
    if (m_Count++ == 0)
      m_FirstError = Error;
  }
};

/// A page of the latest records of all keys of a topic.
struct SnapshotPage {
  std::vector<KeyedRecord> m_Records;
  MalformedRecords m_MalformedRecords;
  /// Key of the last record, decoded or not; the next page follows it.
  std::string m_LastKey;
  bool m_HasMore = false;
  /// End offset of the topic when the page was read.
  std::uint64_t m_EndOffset = 0;
  /// Era of the log; 0 if it names none.
  std::uint64_t m_Era = 0;
};

/// Consecutive records of a topic.
struct RecordBatch {
  std::vector<KeyedRecord> m_Records;
  MalformedRecords m_MalformedRecords;
  std::uint64_t m_EndOffset = 0;
  /// The offset to read next.
  std::uint64_t m_NextOffset = 0;
  /// Era of the log; 0 if it names none.
  std::uint64_t m_Era = 0;
};

/// Client of the platform's log. Each function calls its callback exactly once,
/// on the thread of the I/O context. A read may last as long as its response
/// makes progress; it calls \p Progress, which may be empty, with each part.
struct KeyedLogClient {
  /// Reads a page with the latest record of each key that sorts after \p After;
  /// empty for the first page.
  std::function<void(const std::string &Topic, const std::string &After,
                     std::function<void()> Progress,
                     std::function<void(base::Result<SnapshotPage>)>)>
      m_ReadSnapshot;
  /// Reads records of a keyed topic from the offset \p From on. If there are
  /// none, waits up to \p Wait. The result is LogGap if records have expired or
  /// the log does not have the offset any more.
  std::function<void(const std::string &Topic, std::uint64_t From,
                     base::Millis Wait, std::function<void()> Progress,
                     std::function<void(base::Result<RecordBatch>)>)>
      m_Read;
  /// Appends one keyed record; if \p At is given, only if the topic ends at
  /// that offset. The result is the position of the record, RejectedVersion if
  /// the topic does not end at \p At, or PublishUnknown if the record may have
  /// been appended.
  std::function<void(const std::string &Topic, const KeyedRecord &Record,
                     std::optional<std::uint64_t> At,
                     std::function<void(base::Result<LogPosition>)>)>
      m_Append;
};

} // namespace corneldeck::feed

#endif
