#ifndef CURRANTSPAR_BASE_RANDOM_HPP
#define CURRANTSPAR_BASE_RANDOM_HPP

#include <cstdint>

namespace currantspar {

/// A small seeded generator (splitmix64): the same seed gives the same numbers on every machine.
/// It is not fit for secrets.
class random_generator
{
public:
    using result_type = std::uint64_t;

    explicit random_generator(std::uint64_t seed = 0) : state_(seed) {}

    [[nodiscard]] static constexpr std::uint64_t min() { return 0; }
    [[nodiscard]] static constexpr std::uint64_t max() { return UINT64_MAX; }

    std::uint64_t operator()()
    {
        state_ += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// A number in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// A number in [0, 1).
    double unit() { return static_cast<double>((*this)() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace currantspar

#endif
