#include "Standin/Role.h"

namespace corneldeck::standin {

namespace {

net::HttpServerOptions serverOptions() {
  net::HttpServerOptions Options;
  Options.m_MaxBodyBytes = 64 * net::MiB;
  return Options;
}

} // namespace

Role::Role(boost::asio::io_context &Context, Hooks Of)
    : m_Hooks(std::move(Of)), m_Gate(Context),
      m_Server(Context, serverOptions(),
               [this](const ExchangePtr &Exchange) { handle(Exchange); }) {}

base::Result<std::string> Role::listen(const std::string &Address) {
  return m_Server.listen(Address);
}

void Role::handle(const ExchangePtr &Exchange) {
  if (Exchange->target() == "/faults") {
    order(Exchange);
    return;
  }
  m_Gate.pass(Exchange, m_Hooks.m_Handle);
}

void Role::order(const ExchangePtr &Exchange) {
  auto Document = parseObject(Exchange->body());
  if (!Document) {
    Exchange->respondWithError(Document.error());
    return;
  }
  FaultOrder Order(std::move(*Document));
  m_Gate.read(Order);
  if (m_Hooks.m_ReadFaults)
    m_Hooks.m_ReadFaults(Order);
  const base::Result<void> Outcome = Order.apply();
  if (!Outcome) {
    Exchange->respondWithError(Outcome.error());
    return;
  }
  if (m_Hooks.m_FaultsChanged)
    m_Hooks.m_FaultsChanged();
  Exchange->respond(net::jsonResponse(R"({"ordered":true})"));
}

} // namespace corneldeck::standin
