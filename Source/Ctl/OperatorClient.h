#ifndef CORNELDECK_CTL_OPERATORCLIENT_H
#define CORNELDECK_CTL_OPERATORCLIENT_H

#include "Net/HttpClient.h"

#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::ctl {

/// Asks entries and agents, and waits for the answers.
class OperatorClient {
public:
  /// \param Entries addresses of entries, "ip:port", in the order to try.
  /// \param Timeout for one request.
  OperatorClient(std::vector<std::string> Entries, base::Millis Timeout);

  /// Sends GET to the first entry that can answer.
  /// \returns the body of a good answer, or the error.
  base::Result<std::string> get(std::string_view Target);

  /// Sends POST to the first entry that can be reached; it is tried at the
  /// next one only if it surely did not run.
  base::Result<std::string> post(std::string_view Target, std::string Body);

  /// Sends GET to each address at the same time.
  /// \returns the bodies or errors, in the order of \p Addresses.
  std::vector<base::Result<std::string>>
  getFromEach(const std::vector<std::string> &Addresses,
              std::string_view Target);

  /// Waits.
  void pause(base::Millis Time);

private:
  base::Result<std::string> askInTurn(net::HttpCall Call);
  std::vector<base::Result<std::string>>
  askAll(const std::vector<net::HttpCall> &Calls);

  const std::vector<std::string> m_Entries;
  const base::Millis m_Timeout;
  boost::asio::io_context m_Context{1};
  net::HttpClient m_Client{m_Context};
};

} // namespace corneldeck::ctl

#endif
