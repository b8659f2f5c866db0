#ifndef CORNELDECK_STANDIN_FAULTS_H
#define CORNELDECK_STANDIN_FAULTS_H

#include "Base/Error.h"
#include "Net/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace corneldeck::standin {

using ExchangePtr = std::shared_ptr<net::HttpExchange>;
using Handler = std::function<void(const ExchangePtr &)>;

/// Runs \p Todo on \p Context after \p Delay.
void runAfter(boost::asio::io_context &Context, base::Millis Delay,
              std::function<void()> Todo);

/// \returns the JSON text of \p Document; bytes that are not UTF-8 become
/// replacement characters.
std::string dump(const nlohmann::json &Document);

/// Reads a body that must be a JSON object.
base::Result<nlohmann::json> parseObject(const std::string &Body);

/// An order of faults: a JSON object whose keys are all checked before any
/// takes effect.
class FaultOrder {
public:
  explicit FaultOrder(nlohmann::json Document);

  /// Takes the value of \p Key, if it is there, into \p Into.
  void take(const char *Key, bool &Into);
  void take(const char *Key, std::uint64_t &Into);
  void take(const char *Key, double &Into);
  void take(const char *Key, base::Millis &Into);
  /// Takes one of \p Names as its index.
  void take(const char *Key, const std::vector<std::string> &Names,
            std::size_t &Into);

  /// Puts all values in place, or none if one is wrong or a key is unknown.
  base::Result<void> apply();

private:
  const nlohmann::json *find(const char *Key);
  void reject(const char *Key, const std::string &Expected);

  nlohmann::json m_Document;
  std::set<std::string> m_Known;
  std::vector<std::function<void()>> m_Changes;
  std::string m_Problems;
};

/// The faults that every stand-in has: outage, slowness and lost answers.
class FaultGate {
public:
  explicit FaultGate(boost::asio::io_context &Context);

  /// Hands \p Exchange to \p Next once the ordered delay is over, or treats it
  /// as the ordered outage says.
  void pass(const ExchangePtr &Exchange, const Handler &Next);

  /// Answers a request that has taken effect; closes the connection instead
  /// if its answer is to be lost.
  void answerChange(const ExchangePtr &Exchange,
                    const net::HttpResponse &Answer);

  void read(FaultOrder &Order);

private:
  enum class Outage { None, Refuse, Hang, Close };

  void hold(const ExchangePtr &Exchange);

  boost::asio::io_context &m_Context;
  std::size_t m_Outage = 0;
  base::Millis m_Delay{};
  std::uint64_t m_LoseAnswers = 0;
  std::unordered_set<ExchangePtr> m_Held;
};

} // namespace corneldeck::standin

#endif
