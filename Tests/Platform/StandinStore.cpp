#include "StandinStore.h"

#include "Net/Base64.h"
#include "Net/RequestTarget.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace corneldeck::tests {

namespace {

constexpr base::Millis ReadTurn{10};
constexpr base::Millis LateBy{300};

bool isKeyed(const std::string &Topic) { return Topic.starts_with("keyed."); }

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Out;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Out += static_cast<char>(Value >> (8 * Index));
  return Out;
}

std::vector<std::string> split(std::string_view Body) {
  std::vector<std::string> Records;
  while (Body.size() >= 4) {
    std::size_t Length = 0;
    for (const unsigned char Byte : Body.substr(0, 4))
      Length = Length << 8 | Byte;
    Body.remove_prefix(4);
    Records.emplace_back(Body.substr(0, Length));
    Body.remove_prefix(std::min(Length, Body.size()));
  }
  return Records;
}

void replyJson(net::HttpExchange &Exchange, int Status,
               const nlohmann::json &Body) {
  Exchange.respond(net::jsonResponse(Body.dump(), Status));
}

} // namespace

StandinStore::StandinStore(boost::asio::io_context &Context)
    : m_Context(Context),
      m_Server(Context, {},
               [this](const ExchangePtr &Exchange) { handle(Exchange); }) {}

std::string StandinStore::listen() { return *m_Server.listen("127.0.0.1:0"); }

void StandinStore::put(const std::string &Topic, const std::string &Key,
                       const std::optional<std::string> &Value) {
  add(Topic, static_cast<char>(Key.size()) + Key + Value.value_or(""));
}

void StandinStore::forgetHistory(const std::string &Name) {
  Topic &Of = m_Topics[Name];
  Of.m_First += Of.m_Records.size();
  Of.m_Records.clear();
}

std::uint64_t StandinStore::end(const std::string &Name) const {
  const auto Found = m_Topics.find(Name);
  return Found == m_Topics.end()
             ? 0
             : Found->second.m_First + Found->second.m_Records.size();
}

std::uint64_t StandinStore::add(const std::string &Name,
                                const std::string &Record) {
  Topic &Of = m_Topics[Name];
  const std::uint64_t Offset = Of.m_First + Of.m_Records.size();
  Of.m_Records.push_back(Record);
  if (!isKeyed(Name) || Record.empty())
    return Offset;
  const auto KeyBytes = static_cast<unsigned char>(Record[0]);
  const std::string Key = Record.substr(1, KeyBytes);
  if (Record.size() > 1U + KeyBytes)
    Of.m_Newest[Key] = {Offset, Record.substr(1 + KeyBytes)};
  else
    Of.m_Newest.erase(Key);
  return Offset;
}

void StandinStore::later(base::Millis After, std::function<void()> Do) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Context);
  Timer->expires_after(std::chrono::milliseconds(After.count()));
  Timer->async_wait(
      [Timer, Do = std::move(Do)](const boost::system::error_code &Code) {
        if (!Code)
          Do();
      });
}

void StandinStore::handle(const ExchangePtr &Exchange) {
  ++m_Calls;
  if (m_Faults.m_Down) {
    // Held without an answer until the caller gives up.
    later(base::seconds(30), [Exchange] {});
    return;
  }
  const std::string &Remote = Exchange->remoteAddress();
  const bool Refused =
      m_Faults.m_Refused.contains(Remote.substr(0, Remote.rfind(':')));
  if (m_Faults.m_Busy || Refused) {
    Exchange->respond(503, {}, "");
    return;
  }
  if (m_Faults.m_Delay > base::Millis(0))
    later(m_Faults.m_Delay, [this, Exchange] { serve(Exchange); });
  else
    serve(Exchange);
}

void StandinStore::serve(const ExchangePtr &Exchange) {
  const std::string Path = net::RequestTarget(Exchange->target()).path();
  if (Path == "/log-append")
    append(Exchange);
  else if (Path == "/log-read")
    read(Exchange, {});
  else if (Path == "/log-newest")
    newest(Exchange);
  else if (Path == "/log-trim")
    trim(Exchange);
  else
    Exchange->respond(404, {}, "");
}

void StandinStore::append(const ExchangePtr &Exchange) {
  const net::RequestTarget Asked(Exchange->target());
  const std::string Name = Asked.text("topic").value_or("");
  if (Name == "keyed.op" || Name == "keyed.servers") {
    Exchange->respond(403, {}, "");
    return;
  }
  if (m_Draw.chance(m_Faults.m_Late)) {
    later(LateBy, [this, Exchange] {
      m_Faults.m_Late = 0;
      append(Exchange);
    });
    return;
  }
  if (const auto At = Asked.text("at");
      At && *At != std::to_string(end(Name))) {
    replyJson(*Exchange, 412, {{"end-offset", end(Name)}});
    return;
  }
  const std::uint64_t First = end(Name);
  if (const auto Id = Asked.text("producer")) {
    Producer &Of = m_Topics[Name].m_Producers[*Id];
    const std::uint64_t Epoch = Asked.number("epoch", 0);
    const std::uint64_t Sequence = Asked.number("sequence", 0);
    if (Epoch < Of.m_Epoch) {
      replyJson(*Exchange, 409, {{"reason", "fenced"}});
      return;
    }
    const bool Fresh = Epoch > Of.m_Epoch;
    if (!Fresh && Of.m_Done.contains(Sequence)) {
      replyJson(*Exchange, 200, {{"offset", Of.m_Done[Sequence]}});
      return;
    }
    if (!Fresh && !Of.m_Done.empty() && Sequence != Of.m_Next) {
      replyJson(*Exchange, 409, {{"reason", "seq"}, {"expected", Of.m_Next}});
      return;
    }
    if (Fresh)
      Of.m_Done.clear();
    Of.m_Epoch = Epoch;
    Of.m_Next = Sequence + 1;
    Of.m_Done[Sequence] = First;
    constexpr std::size_t Remembered = 5;
    if (Of.m_Done.size() > Remembered)
      Of.m_Done.erase(Of.m_Done.begin());
  }
  for (const std::string &Record : split(Exchange->body()))
    add(Name, Record);
  if (m_Draw.chance(m_Faults.m_LoseAnswers)) {
    Exchange->abort();
    return;
  }
  replyJson(*Exchange, 200, {{"offset", First}, {"end-offset", end(Name)}});
}

void StandinStore::read(const ExchangePtr &Exchange, base::Millis Waited) {
  const net::RequestTarget Asked(Exchange->target());
  const std::string Name = Asked.text("topic").value_or("");
  const Topic &Of = m_Topics[Name];
  const std::uint64_t From = Asked.number("from", 0);
  if (From < Of.m_First) {
    replyJson(*Exchange, 410, {{"start-offset", Of.m_First}});
    return;
  }
  const base::Millis Wait(
      static_cast<std::int64_t>(Asked.number("wait-ms", 0)));
  if (From >= end(Name) && Waited < Wait) {
    later(ReadTurn,
          [this, Exchange, Waited] { read(Exchange, Waited + ReadTurn); });
    return;
  }
  std::string Body = bigEndian(end(Name), 8) + bigEndian(Of.m_First, 8);
  for (std::uint64_t At = From; At < end(Name); ++At) {
    const std::string &Record = Of.m_Records[At - Of.m_First];
    Body += bigEndian(Record.size(), 4) + Record;
  }
  Exchange->respond(200, {}, Body);
}

void StandinStore::newest(const ExchangePtr &Exchange) {
  const net::RequestTarget Asked(Exchange->target());
  const std::string Name = Asked.text("topic").value_or("");
  const std::string After = Asked.text("after").value_or("");
  constexpr std::size_t PageSize = 3;
  nlohmann::json Entries = nlohmann::json::array();
  bool More = false;
  for (const auto &[Key, Newest] : m_Topics[Name].m_Newest) {
    if (Key <= After && !After.empty())
      continue;
    if (Entries.size() == PageSize) {
      More = true;
      break;
    }
    Entries.push_back({{"key", Key},
                       {"data", net::encodeBase64(Newest.second)},
                       {"offset", Newest.first}});
  }
  replyJson(
      *Exchange, 200,
      {{"entries", Entries}, {"has-more", More}, {"end-offset", end(Name)}});
}

void StandinStore::trim(const ExchangePtr &Exchange) {
  const net::RequestTarget Asked(Exchange->target());
  Topic &Of = m_Topics[Asked.text("topic").value_or("")];
  while (Of.m_First < Asked.number("before-offset", 0) &&
         !Of.m_Records.empty()) {
    Of.m_Records.pop_front();
    ++Of.m_First;
  }
  replyJson(*Exchange, 200, nlohmann::json::object());
}

} // namespace corneldeck::tests
