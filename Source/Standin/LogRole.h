#ifndef CORNELDECK_STANDIN_LOGROLE_H
#define CORNELDECK_STANDIN_LOGROLE_H

#include "Base/Clock.h"
#include "Standin/Role.h"

#include <deque>
#include <map>

namespace corneldeck::standin {

/// Stands in for the platform's log service.
///
/// POST /append takes the body as one record and gives {"offset"}; the first
/// offset is 1. GET /read?from&limit&wait_ms gives {"oldest","next","records"}
/// with the data in base64, and waits for a record if there is none yet.
/// Faults: append_rate, retain_records, retain_ms, lose_appends.
class LogRole {
public:
  explicit LogRole(boost::asio::io_context &Context);

  base::Result<std::string> listen(const std::string &Address) {
    return m_Role.listen(Address);
  }

private:
  struct Record {
    std::string m_Data;
    base::Millis m_At{};
  };

  struct Waiter {
    ExchangePtr m_Exchange;
    std::uint64_t m_From = 1;
    std::uint64_t m_Limit = 0;
  };

  void handle(const ExchangePtr &Exchange);
  void append(const ExchangePtr &Exchange);
  void read(const ExchangePtr &Exchange, const net::RequestTarget &Of);
  void wait(const Waiter &Reader, base::Millis Longest);
  void answer(const Waiter &Reader);
  void wake();
  bool takeToken();
  void expire();
  [[nodiscard]] std::uint64_t next() const {
    return m_Oldest + m_Records.size();
  }

  boost::asio::io_context &m_Context;
  const base::Clock m_Clock = base::steadyClock();
  double m_AppendRate = 400;
  double m_Tokens = m_AppendRate;
  base::Millis m_TokensAt;
  std::uint64_t m_RetainRecords = 1'000'000;
  base::Millis m_RetainTime{};
  std::uint64_t m_LoseAppends = 0;
  std::uint64_t m_Oldest = 1;
  std::deque<Record> m_Records;
  std::uint64_t m_NextWaiter = 0;
  std::map<std::uint64_t, Waiter> m_Waiters;
  Role m_Role;
};

} // namespace corneldeck::standin

#endif
