-- Head Office, Bilbao: services, budgets and client accounts.
begin;
create service redactor kind = model;
create service expediente kind = plain tokens_per_call = 20 repeatable = false;
commit;
create budget franchise-1 limit = 20000000;
create client_account franchise-1 key = "change-me" budget = franchise-1 priority = 1
