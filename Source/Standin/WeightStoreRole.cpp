#include "Standin/WeightStoreRole.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::standin {

namespace {
constexpr double MillisPerSecond = 1000;
} // namespace

WeightStoreRole::WeightStoreRole(boost::asio::io_context &Context)
    : m_Context(Context),
      m_Role(Context,
             {[this](const ExchangePtr &Exchange) { handle(Exchange); },
              [this](FaultOrder &Order) {
                Order.take("bytes_per_s", m_BytesPerS);
              },
              nullptr}) {}

void WeightStoreRole::handle(const ExchangePtr &Exchange) {
  const net::RequestTarget Of(Exchange->target());
  if (Of.path() != "/weights") {
    Exchange->respondWithError({base::ResultCode::BadRequest,
                                "use GET /weights?name=...&bytes=...",
                                {}});
    return;
  }
  const std::uint64_t Bytes = Of.number("bytes", 0);
  const auto Now = static_cast<double>(m_Clock.now().count());
  const double Rate = std::max(m_BytesPerS, 1.0);
  m_FreeAt = std::max(m_FreeAt, Now) +
             static_cast<double>(Bytes) / Rate * MillisPerSecond;
  const base::Millis Wait(static_cast<std::int64_t>(std::ceil(m_FreeAt - Now)));
  const nlohmann::json Body = {{"name", Of.text("name").value_or("")},
                               {"bytes", Bytes}};
  runAfter(m_Context, Wait, [Exchange, Text = dump(Body)] {
    Exchange->respond(net::jsonResponse(Text));
  });
}

} // namespace corneldeck::standin
