#include "core/random.hpp"
