#include "Net/RequestTarget.h"

#include <charconv>

namespace corneldeck::net {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t EscapeDigits = 2;

std::string decode(std::string_view Text) {
  std::string Out;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Value = 0;
    const char *Begin = Text.data() + Index + 1;
    const bool Escaped =
        Text[Index] == '%' && Index + EscapeDigits < Text.size() &&
        std::from_chars(Begin, Begin + EscapeDigits, Value, HexBase).ptr ==
            Begin + EscapeDigits;
    if (!Escaped) {
      Out += Text[Index] == '+' ? ' ' : Text[Index];
      continue;
    }
    Out += static_cast<char>(Value);
    Index += EscapeDigits;
  }
  return Out;
}

bool isPlain(unsigned char Byte) {
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= 'a' && Byte <= 'z') || Byte == '-' || Byte == '_' ||
         Byte == '.' || Byte == '~';
}

} // namespace

RequestTarget::RequestTarget(std::string_view Text) {
  const std::size_t Mark = Text.find('?');
  m_Path = Text.substr(0, Mark);
  std::string_view Rest =
      Mark == std::string_view::npos ? "" : Text.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    const std::string_view Value =
        Equals == std::string_view::npos ? "" : Pair.substr(Equals + 1);
    m_Query.emplace(decode(Pair.substr(0, Equals)), decode(Value));
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
  }
}

std::optional<std::string> RequestTarget::text(std::string_view Key) const {
  const auto Found = m_Query.find(Key);
  if (Found == m_Query.end())
    return std::nullopt;
  return Found->second;
}

std::uint64_t RequestTarget::number(std::string_view Key,
                                    std::uint64_t Default) const {
  const auto Value = text(Key);
  if (!Value)
    return Default;
  std::uint64_t Number = 0;
  const char *End = Value->data() + Value->size();
  const auto Parsed = std::from_chars(Value->data(), End, Number);
  return Parsed.ec == std::errc() && Parsed.ptr == End ? Number : Default;
}

std::string encodeQueryValue(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (isPlain(Byte)) {
      Out += Character;
      continue;
    }
    Out += '%';
    Out += Digits[Byte / HexBase];
    Out += Digits[Byte % HexBase];
  }
  return Out;
}

} // namespace corneldeck::net
