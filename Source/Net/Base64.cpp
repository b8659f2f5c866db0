#include "Net/Base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace corneldeck::net {

namespace iterators = boost::archive::iterators;

namespace {
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;
} // namespace

std::string encodeBase64(std::string_view Bytes) {
  using Encoder = iterators::base64_from_binary<
      iterators::transform_width<const char *, 6, 8>>;
  const char *Begin = Bytes.data();
  std::string Text;
  Text.reserve((Bytes.size() / GroupBytes + 1) * GroupCharacters);
  Text.append(Encoder(Begin), Encoder(Begin + Bytes.size()));
  while (Text.size() % GroupCharacters != 0)
    Text.push_back('=');
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  using Decoder =
      iterators::transform_width<iterators::binary_from_base64<const char *>, 8,
                                 6>;
  if (Text.size() % GroupCharacters != 0)
    return std::nullopt;
  const std::size_t Last = Text.find_last_not_of('=');
  const std::size_t Length = Last == std::string_view::npos ? 0 : Last + 1;
  const bool PaddedInside = Text.substr(0, Length).find('=') != Text.npos;
  if (PaddedInside || Text.size() - Length >= GroupBytes)
    return std::nullopt;
  // The decoder reads whole groups only: the padding is replaced by zero bits,
  // and the surplus bytes are cut off.
  const std::size_t Bytes = Length * GroupBytes / GroupCharacters;
  std::string Padded(Text.substr(0, Length));
  Padded.resize(Text.size(), 'A');
  try {
    const char *Begin = Padded.data();
    std::string Out(Decoder(Begin), Decoder(Begin + Padded.size()));
    Out.resize(Bytes);
    return Out;
  } catch (const iterators::dataflow_exception &) {
    return std::nullopt;
  }
}

} // namespace corneldeck::net
