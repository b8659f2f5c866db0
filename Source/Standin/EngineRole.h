#ifndef CORNELDECK_STANDIN_ENGINEROLE_H
#define CORNELDECK_STANDIN_ENGINEROLE_H

#include "Base/Clock.h"
#include "Fakes/EngineModel.h"
#include "Standin/Completion.h"
#include "Standin/OrderBook.h"
#include "Standin/Role.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

namespace corneldeck::standin {

/// Stands in for a model engine, on the same model that the fault matrix uses.
///
/// POST /v1/chat/completions, streamed or whole; closing the connection or
/// POST /cancel {"id"} cancels. GET /load (lagging), GET /cache-events?from
/// (late, with gaps), POST /kv/export {"id"}, POST /kv/import, POST /orders,
/// GET /orders, GET /runs. Faults: stall, straggler, break_streams (the next
/// that many tokens break their stream), enforce_fencing, order_delay_ms.
class EngineRole {
public:
  /// \param Settings the engine's size and speed.
  EngineRole(boost::asio::io_context &Context,
             const fakes::EngineSettings &Settings);

  base::Result<std::string> listen(const std::string &Address) {
    return m_Role.listen(Address);
  }

private:
  /// One answer in the making.
  struct Answer {
    ExchangePtr m_Exchange;
    Completion m_Asked;
    AnswerText m_Text;
    AnswerFormat m_Format;
    std::uint32_t m_PromptTokens = 0;
    /// Text of the tokens so far, if the answer is not streamed.
    std::string m_Whole;
    std::size_t m_Run = 0;
  };

  /// What became of one run, for checks.
  struct Run {
    std::string m_Id;
    std::string m_Key;
    std::uint32_t m_FirstToken = 0;
    std::uint32_t m_Tokens = 0;
    bool m_Finished = false;
    bool m_Cancelled = false;
  };

  void handle(const ExchangePtr &Exchange);
  void complete(const ExchangePtr &Exchange);
  void begin(const ExchangePtr &Exchange, const std::string &Id,
             const Completion &Asked);
  bool checkResume(const ExchangePtr &Exchange, const Completion &Asked) const;
  std::string requestId(const net::HttpExchange &Exchange);
  void cancel(const ExchangePtr &Exchange);
  bool cancelRun(const std::string &Id);
  void load(const ExchangePtr &Exchange) const;
  void cacheEvents(const ExchangePtr &Exchange,
                   const net::RequestTarget &Of) const;
  void exportKv(const ExchangePtr &Exchange);
  void importKv(const ExchangePtr &Exchange);
  void listRuns(const ExchangePtr &Exchange) const;
  void step();
  void arm();
  void deliver(const fakes::EngineOutput &Output);
  void finish(const std::string &Id, Answer &Of);
  void faultsChanged();
  Run &run(const Answer &Of) { return m_Runs[Of.m_Run - m_FirstRun]; }
  std::size_t addRun(const Run &New);

  const base::Clock m_Clock = base::steadyClock();
  fakes::EngineModel m_Model;
  OrderBook m_Orders;
  boost::asio::steady_timer m_StepTimer;
  std::unordered_map<std::string, Answer> m_Answers;
  std::deque<Run> m_Runs;
  std::size_t m_FirstRun = 0;
  std::uint64_t m_NextId = 0;
  bool m_Stall = false;
  double m_Straggler = 1;
  std::uint64_t m_BreakStreams = 0;
  Role m_Role;
};

} // namespace corneldeck::standin

#endif
