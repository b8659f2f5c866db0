#ifndef CORNELDECK_STANDIN_SERVICEROLE_H
#define CORNELDECK_STANDIN_SERVICEROLE_H

#include "Standin/Role.h"

#include <deque>
#include <unordered_set>

namespace corneldeck::standin {

/// Stands in for a plain service, such as one that confirms remittances.
///
/// Any request to any path runs and is answered {"run","path"}; a POST is
/// also kept, so that GET /runs can list what ran. Faults: run_ms, stall (runs
/// and never answers), fail_before and fail_after (the next that many requests
/// close their connection before or after the run), status.
class ServiceRole {
public:
  explicit ServiceRole(boost::asio::io_context &Context);

  base::Result<std::string> listen(const std::string &Address) {
    return m_Role.listen(Address);
  }

private:
  struct Run {
    std::uint64_t m_Number = 0;
    std::string m_Path;
    std::string m_Key;
    std::string m_RequestId;
  };

  void handle(const ExchangePtr &Exchange);
  void list(const ExchangePtr &Exchange) const;
  void run(const ExchangePtr &Exchange);
  void answer(const ExchangePtr &Exchange, std::uint64_t Number);

  boost::asio::io_context &m_Context;
  base::Millis m_RunTime{};
  bool m_Stall = false;
  std::uint64_t m_FailBefore = 0;
  std::uint64_t m_FailAfter = 0;
  std::uint64_t m_Status = 200;
  std::uint64_t m_Count = 0;
  std::deque<Run> m_Runs;
  std::unordered_set<ExchangePtr> m_Stalled;
  Role m_Role;
};

} // namespace corneldeck::standin

#endif
