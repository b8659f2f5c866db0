#ifndef CORNELDECK_TESTS_PLATFORM_STANDINSTORE_H
#define CORNELDECK_TESTS_PLATFORM_STANDINSTORE_H

#include "Base/Random.h"
#include "Net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// Faults of the stand-in store.
struct StoreFaults {
  /// Ignores all calls and sends no response.
  bool m_Unavailable = false;
  /// Ignores all calls and responds with 503.
  bool m_Busy = false;
  /// IP addresses of callers that are refused with 503.
  std::set<std::string> m_RefusedIps;
  base::Millis m_Delay{};
  /// Interval between the pieces of a response to a read; all at once if zero.
  base::Millis m_PieceInterval{};
  /// Fraction of appends that are performed without a response.
  double m_LostResponseRate = 0;
  /// Fraction of appends that are performed after a delay.
  double m_LateRate = 0;
};

/// Stands in for the platform's log: conditional appends, appends with producer
/// fencing, reads, listings of the latest records, and trims.
class StandinStore {
public:
  explicit StandinStore(boost::asio::io_context &Context);

  /// Starts listening.
  /// \returns the address.
  std::string listen();

  /// Appends a keyed record, as operators and backend servers do.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);

  /// Drops all records; listings still return the latest record of each key.
  void dropHistory(const std::string &Topic);

  /// Keeps a copy of all records.
  void saveCopy();
  /// Returns to the copy and starts a new era: later records are lost, and
  /// their offsets are assigned again.
  void restoreCopy();

  [[nodiscard]] std::uint64_t end(const std::string &Topic) const;
  /// Returns the number of bytes of the latest value of a key.
  [[nodiscard]] std::size_t valueSize(const std::string &Topic,
                                      const std::string &Key) const;

  StoreFaults m_Faults;
  /// Whether responses name the era.
  bool m_NamesEra = true;
  int m_Calls = 0;

private:
  struct Producer {
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_NextSequence = 0;
    /// Offsets of the last appends by sequence number.
    std::map<std::uint64_t, std::uint64_t> m_OffsetBySequence;
  };
  struct Topic {
    std::uint64_t m_FirstOffset = 0;
    std::deque<std::string> m_Records;
    std::map<std::string, Producer> m_Producers;
    /// The value and offset of the latest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_Newest;
  };
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  [[nodiscard]] net::HttpHeaders headers() const;
  void replyJson(net::HttpExchange &Exchange, int Status,
                 const nlohmann::json &Body) const;
  void handle(const ExchangePtr &Exchange);
  void serve(const ExchangePtr &Exchange);
  void append(const ExchangePtr &Exchange);
  void read(const ExchangePtr &Exchange, base::Millis Waited);
  void newest(const ExchangePtr &Exchange);
  void trim(const ExchangePtr &Exchange);
  /// Sends the response to a read.
  void sendBody(const ExchangePtr &Exchange, const std::string &Body);
  /// Sends the rest of a body in pieces.
  void sendPieces(const ExchangePtr &Exchange, const std::string &Body,
                  std::size_t Sent);
  void runAfter(base::Millis After, std::function<void()> Do);
  std::uint64_t add(const std::string &Name, const std::string &Record);

  boost::asio::io_context &m_Context;
  net::HttpServer m_Server;
  base::Random m_Rng{11};
  std::map<std::string, Topic> m_Topics;
  std::map<std::string, Topic> m_Copy;
  std::uint64_t m_Era = 1;
};

} // namespace corneldeck::tests

#endif
