#include "Net/Http.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

namespace corneldeck::net {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;

std::string text(std::string_view View) { return std::string(View); }

/// \returns the JSON text of \p Document; invalid UTF-8, which may come from a
/// caller, becomes replacement characters.
std::string dump(const nlohmann::json &Document) {
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (boost::beast::iequals(Header.m_Name, {Name.data(), Name.size()}))
      return Header.m_Value;
  return {};
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character >= ' ' && Character <= '~';
  });
}

HttpResponse jsonResponse(std::string Body, int Status) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpResponse errorResponse(const base::Error &Failure,
                           std::optional<base::Ran> Value) {
  const base::ResultCodeInfo &Info = base::info(Failure.m_Code);
  const int Number = static_cast<int>(Failure.m_Code);
  const std::string Ran = text(base::name(Value.value_or(Info.m_Ran)));
  const nlohmann::json Body = {{"error",
                                {{"code", Number},
                                 {"name", text(Info.m_Name)},
                                 {"ran", Ran},
                                 {"message", Failure.m_Message}}}};
  HttpResponse Response = jsonResponse(dump(Body), Info.m_HttpStatus);
  Response.m_Headers.push_back(
      {text(ResultCodeHeader), std::to_string(Number)});
  Response.m_Headers.push_back({text(RanHeader), Ran});
  if (Failure.m_RetryAfter > base::Millis(0)) {
    const std::int64_t Seconds =
        (Failure.m_RetryAfter.count() + MillisPerSecond - 1) / MillisPerSecond;
    Response.m_Headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  return Response;
}

} // namespace corneldeck::net
