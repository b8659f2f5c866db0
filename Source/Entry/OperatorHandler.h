#ifndef CORNELDECK_ENTRY_OPERATORHANDLER_H
#define CORNELDECK_ENTRY_OPERATORHANDLER_H

#include "Admin/Messages.h"
#include "Entry/AgentLinks.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"
#include "Node/ControlLoop.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace corneldeck::entry {

/// Handles operators' requests: publishes changes, lists catalogue entries and
/// their history, reports the catalogue version of each node, and drains
/// backend servers.
class OperatorHandler {
public:
  /// \param Loop runs the HTTP exchanges.
  OperatorHandler(boost::asio::io_context &Loop, node::ControlLoop &Control,
                  const AgentLinks &Links, net::HttpClient &Http);

  /// Handles \p Exchange if its path begins with /operator/.
  /// \returns whether it was handled.
  bool handle(const std::shared_ptr<net::HttpExchange> &Exchange);

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  void publish(const ExchangePtr &Exchange);
  void entries(const ExchangePtr &Exchange);
  void history(const ExchangePtr &Exchange);
  void status(const ExchangePtr &Exchange);
  void drain(const ExchangePtr &Exchange);
  void postResponse(const ExchangePtr &Exchange, std::string Body);
  std::vector<admin::NodeStatus> agentStatus() const;

  boost::asio::io_context &m_Loop;
  node::ControlLoop &m_Control;
  const AgentLinks &m_Links;
  net::HttpClient &m_Http;
};

} // namespace corneldeck::entry

#endif
