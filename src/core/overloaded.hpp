#pragma once

/// Builds one visitor for `std::visit` out of several lambdas.
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
