#ifndef CORNELDECK_DIRECT_RATIOHISTOGRAM_H
#define CORNELDECK_DIRECT_RATIOHISTOGRAM_H

#include "Base/Millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace corneldeck::direct {

/// Distribution of recent pass time ratios. Older values count exponentially
/// less.
class RatioHistogram {
public:
  /// The ratios of neighboring bins differ by this factor. A step of 6% is
  /// about one request of the limit.
  static constexpr double BinFactor = 1.06;
  /// The first bin has the ratios up to 1, the last one all above 5.8, which is
  /// close to the largest ratio that is not a stall.
  static constexpr std::size_t Bins = 32;
  /// Resolution of the counts on the wire: the weight of an interval remains
  /// visible until it has decayed to a sixteenth.
  static constexpr double WireScale = 16;

  /// Adds one value.
  void add(double Ratio) { m_Weights[binOf(Ratio)] += 1; }
  /// Adds another distribution.
  void add(const RatioHistogram &Other);
  /// Multiplies all weights.
  void scale(double Factor);

  /// Returns the number of values, each with its remaining weight.
  [[nodiscard]] double total() const;
  /// Returns the fraction of the values above \p Ratio; 0 if there are none.
  [[nodiscard]] double fractionAbove(double Ratio) const;

  /// Returns the weights for a message, without the empty bins at the end.
  [[nodiscard]] std::vector<std::uint32_t> encode() const;
  /// Returns the distribution with weights from a message. Further bins, of
  /// other releases, are added to the last one.
  template <typename Counts> static RatioHistogram decode(const Counts &Given) {
    RatioHistogram Decoded;
    std::size_t Bin = 0;
    for (const std::uint32_t Each : Given) {
      Decoded.m_Weights[Bin] += Each / WireScale;
      Bin = Bin + 1 < Bins ? Bin + 1 : Bin;
    }
    return Decoded;
  }

private:
  static std::size_t binOf(double Ratio);

  std::array<double, Bins> m_Weights{};
};

} // namespace corneldeck::direct

#endif
