#ifndef CORNELDECK_NODE_LOGHTTPCLIENT_H
#define CORNELDECK_NODE_LOGHTTPCLIENT_H

#include "Catalogue/LogClient.h"
#include "Net/HttpClient.h"

#include <string>

namespace corneldeck::node {

/// Speaks to the platform's log service over HTTP.
///
/// \param Http must outlive the returned hooks.
/// \param Address the log service, "ip:port".
/// \param OnBytes is told the bytes of each request with its answer.
catalogue::LogClient
makeLogClient(net::HttpClient &Http, const std::string &Address,
              const std::function<void(std::size_t)> &OnBytes);

/// Reads the body of an answer to GET /read.
/// \returns the records, or BadMessage.
base::Result<catalogue::ReadResponse>
parseReadResponse(const std::string &Body);

} // namespace corneldeck::node

#endif
