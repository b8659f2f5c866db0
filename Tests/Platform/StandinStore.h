#ifndef CORNELDECK_TESTS_PLATFORM_STANDINSTORE_H
#define CORNELDECK_TESTS_PLATFORM_STANDINSTORE_H

#include "Base/Random.h"
#include "Net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// How the stand-in store misbehaves.
struct StoreFaults {
  /// Answers nothing and does nothing.
  bool m_Down = false;
  /// Answers 503 and does nothing.
  bool m_Busy = false;
  /// Callers' IPs that are turned away with 503.
  std::set<std::string> m_Refused;
  base::Millis m_Delay{};
  /// The part of appends that are done and not answered.
  double m_LoseAnswers = 0;
  /// The part of appends that are done only later, without an answer.
  double m_Late = 0;
};

/// Takes the place of the platform's log: appends under a condition and by
/// producers, reads, listings of the newest records, and trims.
class StandinStore {
public:
  explicit StandinStore(boost::asio::io_context &Context);

  /// \returns the address.
  std::string listen();

  /// Writes a keyed record as operators and backend servers do.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);

  /// Drops the records before the end; the newest of each key stay.
  void forgetHistory(const std::string &Topic);

  [[nodiscard]] std::uint64_t end(const std::string &Topic) const;

  StoreFaults m_Faults;
  int m_Calls = 0;

private:
  struct Producer {
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Next = 0;
    /// Offsets of the last appends by their sequence.
    std::map<std::uint64_t, std::uint64_t> m_Done;
  };
  struct Topic {
    std::uint64_t m_First = 0;
    std::deque<std::string> m_Records;
    std::map<std::string, Producer> m_Producers;
    /// The newest record of each key, with its offset.
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_Newest;
  };
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  void handle(const ExchangePtr &Exchange);
  void serve(const ExchangePtr &Exchange);
  void append(const ExchangePtr &Exchange);
  void read(const ExchangePtr &Exchange, base::Millis Waited);
  void newest(const ExchangePtr &Exchange);
  void trim(const ExchangePtr &Exchange);
  void later(base::Millis After, std::function<void()> Do);
  std::uint64_t add(const std::string &Name, const std::string &Record);

  boost::asio::io_context &m_Context;
  net::HttpServer m_Server;
  base::Random m_Draw{11};
  std::map<std::string, Topic> m_Topics;
};

} // namespace corneldeck::tests

#endif
