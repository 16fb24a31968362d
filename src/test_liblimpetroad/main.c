#include <CUnit/Basic.h>

int
main (void)
{
  return 0;
}
