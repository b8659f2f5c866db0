#ifndef CORNELDECK_CATALOGUE_LOGCLIENT_H
#define CORNELDECK_CATALOGUE_LOGCLIENT_H

#include "Base/Error.h"
#include "Wire/Log.pb.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace corneldeck::catalogue {

/// A record with its offset. The first record of a log has offset 1.
struct PositionedRecord {
  std::uint64_t m_Offset = 0;
  wire::LogRecord m_Record;
};

/// The log's response to a read.
struct ReadResponse {
  /// Oldest retained offset; m_Next if nothing is retained.
  std::uint64_t m_Oldest = 1;
  /// Offset of the next record to be appended.
  std::uint64_t m_Next = 1;
  /// Retained records from the requested offset on, at consecutive offsets.
  std::vector<PositionedRecord> m_Records;
};

/// A request to read records.
struct ReadRequest {
  /// Identifies the request to which a response belongs.
  std::uint64_t m_Id = 0;
  /// Offset of the first record to return.
  std::uint64_t m_From = 1;
  /// Most records to return.
  std::uint32_t m_Limit = 0;
  /// How long the log may delay the response until a record arrives.
  base::Millis m_Wait{};
};

/// Asynchronous access to the platform's log service.
///
/// After ConnectionFailed an append was not sent. After any other error it may
/// have been written, or may still be written later.
struct LogClient {
  using AppendDone = std::function<void(base::Result<std::uint64_t>)>;
  using ReadDone = std::function<void(base::Result<ReadResponse>)>;

  std::function<void(const wire::LogRecord &, AppendDone)> m_Append;
  std::function<void(const ReadRequest &, ReadDone)> m_Read;
};

} // namespace corneldeck::catalogue

#endif
