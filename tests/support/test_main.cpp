#define BOOST_TEST_MODULE wrenswitch
#include <boost/test/unit_test.hpp>
