request 3aeb6e96, served by front-gb-hall-d-30
* 11:08:36.317 front-gb-hall-d-30     StreamSent         path=i-9856ab382d[0,8)>i-d3af2fc64e[8,17)>i-bfc874a202[17,26)>i-80adde4307[26,35)>i-af179289e9[35,44)>i-2748aa38a7[44,53)>i-0797179287[53,58)>i-7479368725[58,62)>i-9d5ded3ccb[62,71)>i-99bd2f3f8d[71,80)
  11:08:38.102 front-cp-hall-c-40     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
  11:08:38.146 front-pl-hall-a-17     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
  11:08:38.162 front-pl-hall-a-18     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
* 11:08:38.171 front-gb-hall-d-30     StreamStalled      path=i-9856ab382d[0,8)>i-d3af2fc64e[8,17)>i-bfc874a202[17,26)>i-80adde4307[26,35)>i-af179289e9[35,44)>i-2748aa38a7[44,53)>i-0797179287[53,58)>i-7479368725[58,62)>i-9d5ded3ccb[62,71)>i-99bd2f3f8d[71,80) dead=[i-2748aa38a7] silent_ms=168
  11:08:38.171 front-gb-hall-d-30     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
* 11:08:38.177 front-gb-hall-d-30     StreamMoved        from=i-9856ab382d[0,8)>i-d3af2fc64e[8,17)>i-bfc874a202[17,26)>i-80adde4307[26,35)>i-af179289e9[35,44)>i-2748aa38a7[44,53)>i-0797179287[53,58)>i-7479368725[58,62)>i-9d5ded3ccb[62,71)>i-99bd2f3f8d[71,80) to=i-9856ab382d[0,8)>i-d3af2fc64e[8,17)>i-bfc874a202[17,26)>i-80adde4307[26,35)>i-af179289e9[35,44)>i-78280d5e4f[44,53)>i-0797179287[53,58)>i-7479368725[58,62)>i-9d5ded3ccb[62,71)>i-99bd2f3f8d[71,80)
  11:08:38.178 front-pl-hall-a-14     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
  11:08:38.180 front-pl-hall-a-11     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
  11:08:38.183 front-pl-hall-a-10     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
  11:08:38.210 front-gb-hall-d-35     ServerSuspected    server=i-2748aa38a7 why=it does not answer, or others wait for it
* 11:08:39.169 front-gb-hall-d-30     RequestAnswered    attempts=1 first_event_ms=92 longest_pause_ms=312 took_ms=2854 config=17 config_age_ms=606
likely cause: a server died: i-2748aa38a7 was found dead by 8 boxes
