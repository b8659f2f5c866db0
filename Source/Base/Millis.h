#ifndef CORNELDECK_BASE_MILLIS_H
#define CORNELDECK_BASE_MILLIS_H

#include <compare>
#include <cstdint>

namespace corneldeck::base {

/// A point in time or a duration, in milliseconds.
///
/// Points in time are relative to the origin of the clock that returned them,
/// so points from different machines must not be compared.
class Millis {
public:
  constexpr Millis() = default;

  /// \param Count the number of milliseconds.
  constexpr explicit Millis(std::int64_t Count) : m_Count(Count) {}

  /// \returns the number of milliseconds.
  [[nodiscard]] constexpr std::int64_t count() const { return m_Count; }

  constexpr bool operator==(const Millis &Other) const {
    return m_Count == Other.m_Count;
  }
  constexpr std::strong_ordering operator<=>(const Millis &Other) const {
    return m_Count <=> Other.m_Count;
  }

  constexpr Millis operator+(Millis Other) const {
    return Millis(m_Count + Other.m_Count);
  }
  constexpr Millis operator-(Millis Other) const {
    return Millis(m_Count - Other.m_Count);
  }
  constexpr Millis operator*(std::int64_t Factor) const {
    return Millis(m_Count * Factor);
  }
  constexpr Millis operator/(std::int64_t Divisor) const {
    return Millis(m_Count / Divisor);
  }
  constexpr Millis &operator+=(Millis Other) {
    m_Count += Other.m_Count;
    return *this;
  }
  constexpr Millis &operator-=(Millis Other) {
    m_Count -= Other.m_Count;
    return *this;
  }

private:
  std::int64_t m_Count = 0;
};

constexpr Millis seconds(std::int64_t Count) { return Millis(Count * 1000); }
constexpr Millis minutes(std::int64_t Count) { return seconds(Count * 60); }

} // namespace corneldeck::base

#endif
