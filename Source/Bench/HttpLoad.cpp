#include "Bench/HttpLoad.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace corneldeck::bench {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int FirstFailure = 400;
/// Answers that come later than this after the end are not waited for.
constexpr std::chrono::seconds EndGrace{5};

/// The requests of one run.
class LoadRun {
public:
  LoadRun(const net::HttpCall &Call, std::chrono::milliseconds Duration)
      : m_Call(Call), m_Timer(m_Loop), m_Http(m_Loop, clientOptions()),
        m_Start(std::chrono::steady_clock::now()), m_End(m_Start + Duration) {}

  LoadResult closed(std::uint32_t Parallel) {
    m_Again = true;
    for (std::uint32_t Number = 0; Number < Parallel; ++Number)
      send(std::chrono::steady_clock::now());
    return finish();
  }

  LoadResult open(double PerSecond) {
    m_Interval =
        std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / PerSecond));
    m_NextDue = m_Start;
    sendDue();
    return finish();
  }

private:
  static net::HttpClientOptions clientOptions() {
    net::HttpClientOptions Options;
    Options.m_MaxIdleConnectionsPerAddress = 4096;
    return Options;
  }

  void sendDue() {
    while (m_NextDue <= std::chrono::steady_clock::now() && m_NextDue < m_End) {
      send(m_NextDue);
      m_NextDue += m_Interval;
    }
    if (m_NextDue >= m_End)
      return;
    m_Timer.expires_at(m_NextDue);
    m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled)
        sendDue();
    });
  }

  void send(SteadyTime Due) {
    ++m_Open;
    auto Status = std::make_shared<int>(0);
    m_Http.request(
        m_Call,
        {[Status](const net::HttpResponseHead &Head) {
           *Status = Head.m_Status;
         },
         [this](std::string_view Piece) { m_Result.m_Bytes += Piece.size(); },
         [this, Due, Status](const base::Result<void> &Ended) {
           onEnd(Due, Ended.has_value() && *Status < FirstFailure);
         }});
  }

  void onEnd(SteadyTime Due, bool Good) {
    --m_Open;
    const SteadyTime Now = std::chrono::steady_clock::now();
    if (Good) {
      ++m_Result.m_Answered;
      m_Result.m_Latencies.push_back(
          std::chrono::duration<double, std::milli>(Now - Due).count());
    } else
      ++m_Result.m_Failed;
    if (m_Again && Now < m_End)
      send(Now);
  }

  LoadResult finish() {
    const auto Running = [this] {
      return std::chrono::steady_clock::now() < m_End || m_Open > 0;
    };
    while (Running() && std::chrono::steady_clock::now() < m_End + EndGrace)
      m_Loop.run_one_for(std::chrono::milliseconds(1));
    m_Result.m_Failed += m_Open;
    m_Result.m_Seconds = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - m_Start)
                             .count();
    return std::move(m_Result);
  }

  const net::HttpCall m_Call;
  boost::asio::io_context m_Loop{1};
  boost::asio::steady_timer m_Timer;
  net::HttpClient m_Http;
  const SteadyTime m_Start;
  const SteadyTime m_End;
  SteadyTime m_NextDue;
  std::chrono::nanoseconds m_Interval{};
  bool m_Again = false;
  std::uint64_t m_Open = 0;
  LoadResult m_Result;
};

} // namespace

double LoadResult::percentile(double Share) const {
  if (m_Latencies.empty())
    return 0;
  std::vector<double> Sorted = m_Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

LoadResult runClosedLoop(const net::HttpCall &Call, std::uint32_t Parallel,
                         std::chrono::milliseconds Duration) {
  return LoadRun(Call, Duration).closed(Parallel);
}

LoadResult runOpenLoop(const net::HttpCall &Call, double PerSecond,
                       std::chrono::milliseconds Duration) {
  return LoadRun(Call, Duration).open(PerSecond);
}

} // namespace corneldeck::bench
