#pragma once

/// Combines several lambdas into one visitor for `std::visit`.
namespace primrosedeal
{

template <class... Lambdas>
struct overloaded : Lambdas...
{
    using Lambdas::operator()...;
};

template <class... Lambdas>
overloaded(Lambdas...) -> overloaded<Lambdas...>;

} // namespace primrosedeal
