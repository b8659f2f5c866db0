#include "Standin/VmListRole.h"

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::size_t MaxVersions = 1000;

bool isVm(const json &Item) {
  if (!Item.is_object())
    return false;
  for (const char *Key : {"name", "zone", "address", "state"})
    if (!Item.contains(Key) || !Item[Key].is_string())
      return false;
  return Item["state"] == "live" || Item["state"] == "leaving";
}

bool isList(const json &Document) {
  const auto Vms = Document.find("vms");
  if (Vms == Document.end() || !Vms->is_array())
    return false;
  for (const json &Item : *Vms)
    if (!isVm(Item))
      return false;
  return true;
}

} // namespace

VmListRole::VmListRole(boost::asio::io_context &Context)
    : m_Role(Context,
             {[this](const ExchangePtr &Exchange) { handle(Exchange); },
              [this](FaultOrder &Order) { Order.take("lag_ms", m_Lag); },
              nullptr}) {}

void VmListRole::handle(const ExchangePtr &Exchange) {
  if (Exchange->target() != "/vms")
    Exchange->respondWithError(
        {base::ResultCode::BadRequest, "use GET or POST /vms", {}});
  else if (Exchange->method() == "POST")
    replace(Exchange);
  else
    list(Exchange);
}

void VmListRole::replace(const ExchangePtr &Exchange) {
  const auto Document = parseObject(Exchange->body());
  if (!Document || !isList(*Document)) {
    Exchange->respondWithError(
        {base::ResultCode::BadRequest,
         "expected {\"vms\":[{name, zone, address, state: live|leaving}]}",
         {}});
    return;
  }
  m_Versions.push_back({m_Clock.now(), (*Document)["vms"]});
  if (m_Versions.size() > MaxVersions)
    m_Versions.pop_front();
  m_Role.gate().answerChange(Exchange,
                             net::jsonResponse(R"({"replaced":true})"));
}

void VmListRole::list(const ExchangePtr &Exchange) {
  const base::Millis Horizon = m_Clock.now() - m_Lag;
  json Vms = json::array();
  for (const Version &Item : m_Versions)
    if (Item.m_At <= Horizon)
      Vms = Item.m_Vms;
  Exchange->respond(net::jsonResponse(dump({{"vms", Vms}})));
}

} // namespace corneldeck::standin
