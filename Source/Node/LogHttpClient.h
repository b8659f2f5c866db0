#ifndef CORNELDECK_NODE_LOGHTTPCLIENT_H
#define CORNELDECK_NODE_LOGHTTPCLIENT_H

#include "Catalogue/LogClient.h"
#include "Net/HttpClient.h"

#include <string>

namespace corneldeck::node {

/// Returns a client of the platform's log service over HTTP.
///
/// \param Http must outlive the returned client.
/// \param Address the address of the log service, as "ip:port".
/// \param OnBytes is called with the approximate size of each request and
/// response, in bytes.
catalogue::LogClient
makeLogClient(net::HttpClient &Http, const std::string &Address,
              const std::function<void(std::size_t)> &OnBytes);

/// Parses the body of the response to GET /read.
/// \returns the response, or BadMessage.
base::Result<catalogue::ReadResponse>
parseReadResponse(const std::string &Body);

} // namespace corneldeck::node

#endif
