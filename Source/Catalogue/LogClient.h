#ifndef CORNELDECK_CATALOGUE_LOGCLIENT_H
#define CORNELDECK_CATALOGUE_LOGCLIENT_H

#include "Base/Error.h"
#include "Wire/Log.pb.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace corneldeck::catalogue {

/// A record with its offset; the first of a log has offset 1.
struct PositionedRecord {
  std::uint64_t m_Offset = 0;
  wire::LogRecord m_Record;
};

/// The log's answer to a read.
struct ReadResponse {
  /// Oldest retained offset; m_Next if nothing is retained.
  std::uint64_t m_Oldest = 1;
  /// Offset that the next append gets.
  std::uint64_t m_Next = 1;
  /// Retained records from the asked offset on, in order, without holes.
  std::vector<PositionedRecord> m_Records;
};

/// Which records to read.
struct ReadRequest {
  /// Matches the answer with the request.
  std::uint64_t m_Id = 0;
  std::uint64_t m_From = 1;
  std::uint32_t m_Limit = 0;
  /// How long the log may hold the answer back until a record comes.
  base::Millis m_Wait{};
};

/// The platform's log service.
///
/// ConnectionFailed says that an append was never sent; after any other error
/// it may have landed, or may land later.
struct LogClient {
  using AppendDone = std::function<void(base::Result<std::uint64_t>)>;
  using ReadDone = std::function<void(base::Result<ReadResponse>)>;

  std::function<void(const wire::LogRecord &, AppendDone)> m_Append;
  std::function<void(const ReadRequest &, ReadDone)> m_Read;
};

} // namespace corneldeck::catalogue

#endif
