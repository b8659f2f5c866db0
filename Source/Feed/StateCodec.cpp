#include "Feed/StateCodec.h"

#include "Base/RendezvousHash.h"

#include <bit>
#include <memory>
#include <zstd.h>

namespace corneldeck::feed {

namespace {

/// Differences of large states need references across the whole base.
constexpr int CompressionLevel = 1;
constexpr int MinWindowLog = 18;
constexpr int MaxWindowLog = 27;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext =
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

tl::unexpected<base::Error> damaged(const std::string &Cause) {
  return base::failure(base::ResultCode::BadMessage,
                       "the state of a feed is damaged: " + Cause);
}

} // namespace

StateSnapshot::StateSnapshot(std::string Bytes)
    : m_Bytes(std::move(Bytes)), m_Hash(base::hash64(m_Bytes, 0)) {}

StatePayload encodeState(const StateSnapshot &Target,
                         const StateSnapshot *Base) {
  const CompressionContext Context(ZSTD_createCCtx(), ZSTD_freeCCtx);
  const std::size_t Window =
      Target.m_Bytes.size() + (Base ? Base->m_Bytes.size() : 0);
  const int WindowLog = std::clamp(static_cast<int>(std::bit_width(Window)),
                                   MinWindowLog, MaxWindowLog);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog, WindowLog);
  if (Base) {
    ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(Context.get(), Base->m_Bytes.data(),
                        Base->m_Bytes.size());
  }
  StatePayload Payload;
  Payload.m_Base = Base ? Base->m_Hash : 0;
  Payload.m_Target = Target.m_Hash;
  Payload.m_Bytes.resize(ZSTD_compressBound(Target.m_Bytes.size()));
  const std::size_t Size = ZSTD_compress2(
      Context.get(), Payload.m_Bytes.data(), Payload.m_Bytes.size(),
      Target.m_Bytes.data(), Target.m_Bytes.size());
  Payload.m_Bytes.resize(ZSTD_isError(Size) != 0 ? 0 : Size);
  Payload.m_Bytes.shrink_to_fit();
  Payload.m_Hash = base::hash64(Payload.m_Bytes, 0);
  return Payload;
}

base::Result<StateSnapshot> decodeState(const StatePayload &Payload,
                                        const StateSnapshot *Base) {
  if (base::hash64(Payload.m_Bytes, 0) != Payload.m_Hash)
    return damaged("the bytes do not match their hash");
  if (Payload.m_Base != (Base ? Base->m_Hash : 0))
    return damaged("it is relative to a state that is not available");
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Payload.m_Bytes.data(), Payload.m_Bytes.size());
  if (Size == ZSTD_CONTENTSIZE_UNKNOWN || Size == ZSTD_CONTENTSIZE_ERROR ||
      Size > MaxStateBytes)
    return damaged("its size is missing or above the limit");
  const DecompressionContext Context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax, MaxWindowLog);
  if (Base)
    ZSTD_DCtx_refPrefix(Context.get(), Base->m_Bytes.data(),
                        Base->m_Bytes.size());
  std::string Bytes(Size, '\0');
  const std::size_t Written =
      ZSTD_decompressDCtx(Context.get(), Bytes.data(), Bytes.size(),
                          Payload.m_Bytes.data(), Payload.m_Bytes.size());
  if (ZSTD_isError(Written) != 0)
    return damaged(ZSTD_getErrorName(Written));
  Bytes.resize(Written);
  StateSnapshot Restored(std::move(Bytes));
  if (Restored.m_Hash != Payload.m_Target)
    return damaged("the restored state does not match its hash");
  return Restored;
}

} // namespace corneldeck::feed
