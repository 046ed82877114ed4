#include <boost/test/unit_test.hpp>
