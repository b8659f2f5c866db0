#ifndef CORNELDECK_STANDIN_ROLE_H
#define CORNELDECK_STANDIN_ROLE_H

#include "Net/HttpServer.h"
#include "Net/RequestTarget.h"
#include "Standin/Faults.h"

#include <string>

namespace corneldeck::standin {

/// The server of one stand-in: faults at POST /faults, all else to its handler.
class Role {
public:
  /// What one stand-in adds to the server.
  struct Hooks {
    Handler m_Handle;
    /// Names the stand-in's own faults.
    std::function<void(FaultOrder &)> m_ReadFaults;
    /// Called after an order took effect; may be unset.
    std::function<void()> m_FaultsChanged;
  };

  Role(boost::asio::io_context &Context, Hooks Of);

  /// Listens on "ip:port".
  /// \returns the address in use.
  base::Result<std::string> listen(const std::string &Address);

  FaultGate &gate() { return m_Gate; }

private:
  void handle(const ExchangePtr &Exchange);
  void order(const ExchangePtr &Exchange);

  Hooks m_Hooks;
  FaultGate m_Gate;
  net::HttpServer m_Server;
};

} // namespace corneldeck::standin

#endif
