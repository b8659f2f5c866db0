#ifndef CORNELDECK_STANDIN_WEIGHTSTOREROLE_H
#define CORNELDECK_STANDIN_WEIGHTSTOREROLE_H

#include "Base/Clock.h"
#include "Standin/Role.h"

namespace corneldeck::standin {

/// Stands in for the rate-limited weight store.
///
/// GET /weights?name&bytes answers {"name","bytes"} once the shared rate would
/// have let that many bytes through; the bytes themselves are not sent.
/// Fault: bytes_per_s.
class WeightStoreRole {
public:
  explicit WeightStoreRole(boost::asio::io_context &Context);

  base::Result<std::string> listen(const std::string &Address) {
    return m_Role.listen(Address);
  }

private:
  void handle(const ExchangePtr &Exchange);

  boost::asio::io_context &m_Context;
  const base::Clock m_Clock = base::steadyClock();
  double m_BytesPerS = 1e9;
  /// When all reads begun so far are through.
  double m_FreeAt = 0;
  Role m_Role;
};

} // namespace corneldeck::standin

#endif
